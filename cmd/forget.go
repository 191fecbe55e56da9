package cmd

import (
	"context"
	"fmt"
)

// forgetCommand declares that the process of a balancer has ended and will not return.
type forgetCommand struct {
	operatorFlags
	Name string `arg:"" help:"Name of the balancer."`
}

// Help shows an example.
func (forgetCommand) Help() string {
	return "Use this only for a balancer that is certain to have stopped: its request keys are released after the deduplication window. Example: wasabideal forget tawfik-1"
}

// Run sends the declaration to the leader.
func (c *forgetCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	if err := c.client().ForgetBalancer(ctx, c.Name); err != nil {
		return err
	}
	_, err := fmt.Println("accepted; keys that only " + c.Name + " remembered are released after the deduplication window")
	return err
}
