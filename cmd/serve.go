package cmd

import (
	"context"

	"github.com/samber/do/v2"

	"wasabideal/internal/start/applydefaults"
	"wasabideal/internal/start/checksettings"
	"wasabideal/internal/start/logging"
	"wasabideal/internal/start/readsettings"
	"wasabideal/internal/start/serve"
	"wasabideal/internal/start/stage"
	"wasabideal/internal/start/startbalancer"
	"wasabideal/internal/start/startvoter"
)

// serveCommand runs a balancer, a control voter or both.
type serveCommand struct {
	Config string `help:"Settings file of this process." required:"" type:"existingfile"`
}

// Help shows an example.
func (serveCommand) Help() string { return "Example: wasabideal serve --config examples/balancer.toml" }

// Run serves until a planned stop. The last stage handles signals.
func (c *serveCommand) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return stage.Run(ctx, do.New(), []stage.Stage{
		readsettings.Stage{File: c.Config},
		applydefaults.Stage{},
		checksettings.Stage{File: c.Config},
		logging.Stage{},
		startvoter.Stage{},
		startbalancer.Stage{},
		serve.Stage{},
	})
}
