package cmd

import (
	"fmt"
	"os"

	"wasabideal/internal/log/followers"
)

// followersCommand prints the parent of each balancer, from the balancers' logs.
type followersCommand struct {
	Logs []string `arg:"" help:"Logs of balancers." type:"existingfile"`
}

// Help shows an example.
func (followersCommand) Help() string { return "Example: wasabideal followers logs/entry-*.log" }

// Run prints one line per balancer.
func (c *followersCommand) Run() error {
	f := followers.New()
	for _, name := range c.Logs {
		if err := readFollowers(f, name); err != nil {
			return err
		}
	}
	return f.WriteTable(os.Stdout)
}

func readFollowers(f *followers.Followers, name string) error {
	log, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	return f.Read(log)
}
