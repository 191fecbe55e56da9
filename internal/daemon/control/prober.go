package control

import (
	"context"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/silence/probe"
)

// prober logs the outcomes of probes.
type prober struct {
	*probe.Prober
	log hclog.Logger
}

func (c *Control) prober() feed.Prober {
	return prober{Prober: probe.New(c.settings.Clock, probe.Dial), log: c.log}
}

// Check probes the host of an upstream that leaves packets unanswered.
func (p prober) Check(ctx context.Context, suspect netip.AddrPort, references []netip.AddrPort) probe.Outcome {
	o := p.Prober.Check(ctx, suspect, references)
	p.log.Info("suspected upstream probed", "Address", suspect.String(), "Outcome", o.String(), "References", len(references))
	return o
}
