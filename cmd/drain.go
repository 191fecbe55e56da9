package cmd

import (
	"context"
	"fmt"
)

// drainCommand starts the planned stop of a balancer.
type drainCommand struct {
	operatorFlags
	Address string `arg:"" help:"RPC address of the balancer."`
}

// Help shows an example.
func (drainCommand) Help() string { return "Example: wasabideal drain 127.0.0.1:7401" }

// Run requests the stop; the process exits once it has handed over its flows.
func (c *drainCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	if err := c.client().Drain(ctx, c.Address); err != nil {
		return err
	}
	_, err := fmt.Println("planned stop started; the process exits once its flows are handed over")
	return err
}
