package cmd

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/demo/run"
)

// demoCommand runs the demonstration.
type demoCommand struct {
	LogLevel string `help:"Level of the log that is written to standard error." default:"error" enum:"trace,debug,info,warn,error,off"`
}

// Help shows an example.
func (demoCommand) Help() string { return "Example: wasabideal demo --log-level warn" }

// Run returns an error that lists the violated guarantees.
func (c *demoCommand) Run(ctx context.Context) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "demo", Level: hclog.LevelFromString(c.LogLevel), JSONFormat: true})
	return run.New(os.Stdout).Run(ctx, log)
}
