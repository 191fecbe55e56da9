package cmd

import (
	"context"
	"net/netip"
	"os"
	"time"

	"wasabideal/internal/load/run"
)

// loadCommand generates load on running balancers.
type loadCommand struct {
	Service   string           `help:"Name of the service to load." required:""`
	Address   netip.AddrPort   `help:"Address of the service." required:""`
	JoinToken string           `help:"Token that registers the simulated upstreams with the service." env:"WASABIDEAL_JOIN_TOKEN"`
	Zone      string           `help:"Availability zone of the simulated upstreams."`
	Admin     []string         `help:"Admin addresses of balancers." default:"127.0.0.1:7402"`
	Fabric    []netip.AddrPort `help:"Fabric addresses of balancers." default:"127.0.0.1:6080"`
	Door      []string         `help:"HTTP addresses (Listen.Door) of balancers; without any, no requests are sent."`
	Upstreams int              `help:"Number of simulated upstreams." default:"5"`
	Flows     int              `help:"Number of flows kept open." default:"200"`
	Every     time.Duration    `help:"Mean interval between two messages of a flow." default:"500ms"`
	Rate      float64          `help:"Requests per second." default:"50"`
	Duration  time.Duration    `help:"Duration of the load." default:"10s"`
	JSON      bool             `help:"Print JSON."`
}

// Help shows an example.
func (loadCommand) Help() string {
	return "Example: wasabideal load --service orders --address 10.20.0.1:443 --join-token join-orders --door 127.0.0.1:8443"
}

// Run generates the load and prints the result.
func (c *loadCommand) Run(ctx context.Context) error {
	r, err := run.New(run.Settings{
		Service: c.Service, Address: c.Address, Token: c.JoinToken, Zone: c.Zone, AdminAddresses: c.Admin, FabricAddresses: c.Fabric,
		HTTPAddresses: c.Door, Upstreams: c.Upstreams, Flows: c.Flows, Every: c.Every, Rate: c.Rate, Duration: c.Duration,
	}).Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(r)
	}
	return r.Print(os.Stdout)
}
