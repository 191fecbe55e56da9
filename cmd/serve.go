package cmd

import (
	"context"

	"github.com/samber/do/v2"

	"wasabideal/internal/start/fill"
	"wasabideal/internal/start/logging"
	"wasabideal/internal/start/read"
	"wasabideal/internal/start/route"
	"wasabideal/internal/start/stage"
	"wasabideal/internal/start/verify"
	"wasabideal/internal/start/vote"
	"wasabideal/internal/start/wait"
)

// serveCommand runs a balancer, a control voter or both.
type serveCommand struct {
	Config string `help:"Settings file of this process." required:"" type:"existingfile"`
}

// Help shows an example.
func (serveCommand) Help() string { return "Example: wasabideal serve --config examples/balancer.toml" }

// Run serves until a graceful shutdown. Signals are handled by the last stage.
func (c *serveCommand) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return stage.Run(ctx, do.New(), []stage.Stage{
		read.Stage{File: c.Config},
		fill.Stage{},
		verify.Stage{File: c.Config},
		logging.Stage{},
		vote.Stage{},
		route.Stage{},
		wait.Stage{},
	})
}
