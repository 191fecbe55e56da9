package startvoter

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"wasabideal/internal/daemon/control"
	"wasabideal/internal/setting/settings"
	"wasabideal/internal/setting/wiring"
	"wasabideal/internal/start/stage"
)

// Stage starts the voter if the role includes one.
type Stage struct{}

// String names the stage.
func (Stage) String() string { return "start voter" }

// Run starts and provides the voter.
func (Stage) Run(ctx context.Context, i do.Injector) error {
	s := do.MustInvoke[settings.Settings](i)
	log := do.MustInvoke[hclog.Logger](i)
	if s.Role == settings.RoleBalancer {
		return &stage.SkipError{Reason: "role is " + s.Role}
	}
	c, err := control.Listen(wiring.Wiring{Clock: time.Now}.Control(s), nil, log.Named("control"))
	if err != nil {
		return err
	}
	c.Start(ctx)
	do.ProvideValue(i, c)
	log.Info("voter listening", "Rpc", c.Address())
	return nil
}
