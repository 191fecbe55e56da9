package cmd

import (
	"fmt"
	"os"

	"wasabideal/internal/balancer/trace"
)

// replayCommand runs a recorded trace through the balancer's reducer.
type replayCommand struct {
	Trace string `arg:"" help:"Trace recorded by a balancer (setting Balancer.TraceFile)." type:"existingfile"`
	Token string `help:"Group token of the recorded balancer." env:"WASABIDEAL_GROUP_TOKEN"`
}

// Help shows an example.
func (replayCommand) Help() string { return "Example: wasabideal replay trace.jsonl > effects.jsonl" }

// Run prints the effects as JSON lines. The output is deterministic.
func (c *replayCommand) Run() error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return fmt.Errorf("open trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return trace.Replay(f, os.Stdout, c.Token)
}
