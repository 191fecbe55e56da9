package puller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/configuration/source"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/roster"
	"wasabideal/internal/wire/rpc"
)

// Settings of a puller.
type Settings struct {
	// Sources are asked in this order; the next one when one fails.
	Sources []string
	Token   string
	// Hold is how long a source may keep a question open.
	Hold time.Duration
	// Grace is how much longer than Hold an answer may take: then the link
	// counts as dead, though no error says so.
	Grace time.Duration
	// RetryAfter is the mean pause after all sources failed.
	RetryAfter time.Duration
}

// Holder is what a puller keeps up to date.
type Holder interface {
	Configuration() configuration.Configuration
	RosterVersion() uint64
	Offer(c configuration.Configuration)
	OfferRoster(r roster.Roster)
	Evacuations() evacuation.Evacuations
	// OfferEvacuations comes before the configuration of the same answer, so that no flow is
	// placed by that without them.
	OfferEvacuations(e evacuation.Evacuations)
}

// Puller follows the newest configuration and roster.
type Puller struct {
	settings Settings
	log      hclog.Logger
	holder   Holder
}

// New returns a puller that keeps a holder up to date.
func New(s Settings, log hclog.Logger, h Holder) *Puller {
	return &Puller{settings: s, log: log, holder: h}
}

// Run asks until the context ends.
func (p *Puller) Run(ctx context.Context) {
	for ctx.Err() == nil && len(p.settings.Sources) > 0 {
		for _, address := range p.settings.Sources {
			p.follow(ctx, address)
		}
		p.pause(ctx)
	}
}

// pause waits between half and one and a half times the set time, so that a
// fleet that lost its source does not come back in step.
func (p *Puller) pause(ctx context.Context) {
	d := p.settings.RetryAfter/2 + time.Duration(rand.Int64N(int64(p.settings.RetryAfter)+1))
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// follow asks one source until it fails or knows no newer revision than others may.
func (p *Puller) follow(ctx context.Context, address string) {
	c := rpc.NewClient(address, p.settings.Token)
	defer c.Close()
	for ctx.Err() == nil {
		if err := p.Ask(ctx, c, p.settings.Hold); err != nil {
			p.log.Debug("source failed", "Address", address, "Error", err)
			return
		}
	}
}

// StaleSourceError says that a source is cut off: it answers, but cannot know
// the newest revision, so another one is asked.
type StaleSourceError struct{ Revision uint64 }

func (e *StaleSourceError) Error() string {
	return fmt.Sprintf("source has revision %d and cannot tell whether it is the newest", e.Revision)
}

// Ask makes one question to a source and offers its answer.
func (p *Puller) Ask(ctx context.Context, c *rpc.Client, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, hold+p.settings.Grace)
	defer cancel()
	held := p.holder.Configuration()
	q := source.Question{Revision: held.Revision, RosterVersion: p.holder.RosterVersion(), Evacuations: p.holder.Evacuations().Revision, Hold: hold}
	a, err := rpc.Call[source.Question, history.Answer](ctx, c, source.Method, q)
	if err != nil {
		return err
	}
	if a.Evacuations != nil {
		p.holder.OfferEvacuations(*a.Evacuations)
	}
	if a.Roster != nil {
		p.holder.OfferRoster(*a.Roster)
	}
	next, err := history.Follow(held, a)
	if err != nil {
		p.log.Warn("delta does not fit, taking the whole", "Error", err)
		return p.askWhole(ctx, c)
	}
	if next.Revision > held.Revision {
		p.holder.Offer(next)
	}
	if !a.Current && a.Revision <= held.Revision && a.Roster == nil && a.Evacuations == nil {
		return &StaleSourceError{Revision: a.Revision}
	}
	return nil
}

func (p *Puller) askWhole(ctx context.Context, c *rpc.Client) error {
	a, err := rpc.Call[source.Question, history.Answer](ctx, c, source.Method, source.Question{})
	if err != nil {
		return err
	}
	if a.Whole != nil {
		p.holder.Offer(*a.Whole)
	}
	return nil
}
