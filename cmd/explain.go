package cmd

import (
	"fmt"
	"os"

	"wasabideal/internal/log/story"
)

// explainCommand finds the log lines about a caller, an upstream or a revision and explains them.
type explainCommand struct {
	Caller      string   `help:"Address and port of the caller." xor:"id" required:"" placeholder:"IP:PORT"`
	Incarnation string   `help:"Incarnation of an upstream, as in log lines about flows." xor:"id" required:"" placeholder:"HEX"`
	Revision    uint64   `help:"Revision of a configuration." xor:"id" required:""`
	Logs        []string `arg:"" help:"Logs of balancers and voters; more logs give a more complete explanation." type:"existingfile"`
}

// Help shows an example.
func (explainCommand) Help() string {
	return "Example: wasabideal explain --caller 100.64.0.17:1059 logs/*.log"
}

// Run prints the relevant lines in order of time, and what they mean.
func (c *explainCommand) Run() error {
	var s story.Timeline
	for _, name := range c.Logs {
		var err error
		if s, err = readLog(s, name); err != nil {
			return err
		}
	}
	return s.Write(os.Stdout, story.Query{Caller: c.Caller, Incarnation: c.Incarnation, Revision: c.Revision})
}

func readLog(s story.Timeline, name string) (story.Timeline, error) {
	f, err := os.Open(name)
	if err != nil {
		return s, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	return s.Read(name, f)
}
