package serve

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/daemon/control"
)

// Stage blocks until SIGTERM, SIGINT or a request of an operator starts the planned stop. A signal
// during the planned stop of the balancer aborts it.
type Stage struct{}

// String names the stage.
func (Stage) String() string { return "serve" }

// Run returns when the process may exit.
func (Stage) Run(_ context.Context, i do.Injector) error {
	log := do.MustInvoke[hclog.Logger](i)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	b, balancerErr := do.Invoke[*balancer.Balancer](i)
	c, controlErr := do.Invoke[*control.Control](i)
	var stopRequested <-chan struct{}
	if balancerErr == nil {
		stopRequested = b.StopRequested()
	}
	select {
	case s := <-signals:
		log.Info("planned stop begins", "Signal", s.String())
	case <-stopRequested:
		log.Info("planned stop begins", "Signal", "operator")
	}
	var err error
	if balancerErr == nil {
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer cancel()
		err = b.Stop(ctx)
	}
	if controlErr == nil {
		c.Stop()
	}
	log.Info("stopped")
	return err
}
