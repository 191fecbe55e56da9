package cmd

import (
	"fmt"
	"os"

	"wasabideal/internal/log/story"
)

// explainCommand tells why a request failed, from the processes' logs.
type explainCommand struct {
	Caller      string   `help:"Caller's address and port." xor:"id" required:"" placeholder:"IP:PORT"`
	Incarnation string   `help:"Incarnation of an upstream, as lines of flows name it." xor:"id" required:"" placeholder:"HEX"`
	Revision    uint64   `help:"Revision of a configuration." xor:"id" required:""`
	Logs        []string `arg:"" help:"Logs of balancers and voters; the more, the fuller the story." type:"existingfile"`
}

// Help shows an example.
func (explainCommand) Help() string {
	return "Example: wasabideal explain --caller 100.64.0.17:1059 logs/*.log"
}

// Run prints the lines that matter in order, and what they mean.
func (c *explainCommand) Run() error {
	var s story.Story
	for _, name := range c.Logs {
		var err error
		if s, err = readLog(s, name); err != nil {
			return err
		}
	}
	return s.Tell(os.Stdout, story.Question{Caller: c.Caller, Incarnation: c.Incarnation, Revision: c.Revision})
}

func readLog(s story.Story, name string) (story.Story, error) {
	f, err := os.Open(name)
	if err != nil {
		return s, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	return s.Read(name, f)
}
