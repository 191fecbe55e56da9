package cmd

import "fmt"

// version is the version of the next release.
const version = "0.1.0"

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	_, err := fmt.Println("wasabideal", version)
	return err
}
