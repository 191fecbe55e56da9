package cmd

import (
	"fmt"

	"wasabideal/internal/operator/document"
)

// checkCommand validates settings and configuration files.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Settings or configuration files."`
}

// Help shows an example.
func (checkCommand) Help() string {
	return "Example: wasabideal check examples/balancer.toml examples/suez.toml"
}

// Run stops at the first invalid file; the error names the key, its value and the allowed values.
func (c *checkCommand) Run() error {
	for _, f := range c.Files {
		if _, err := document.Read(f); err != nil {
			return err
		}
		if _, err := fmt.Println(f + ": valid"); err != nil {
			return err
		}
	}
	return nil
}
