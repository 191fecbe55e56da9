package cmd

import (
	"context"
	"fmt"
)

// removeCommand permanently removes a control voter from the voter list.
type removeCommand struct {
	operatorFlags
	Name string `arg:"" help:"Name of the voter."`
}

// Help shows an example.
func (removeCommand) Help() string { return "Example: wasabideal remove control-ismailia" }

// Run sends the removal to the leader.
func (c *removeCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	if err := c.client().RemoveVoter(ctx, c.Name); err != nil {
		return err
	}
	_, err := fmt.Println("removal proposed; check status until the voter is gone")
	return err
}
