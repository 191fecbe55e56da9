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

// Settings configures a Puller.
type Settings struct {
	// Sources are tried in this order when one fails.
	Sources []string
	Token   string
	// Hold is how long a source may delay a response.
	Hold time.Duration
	// Grace is how much longer than Hold a response may take before the request
	// fails. This limit detects a dead link that reports no error.
	Grace time.Duration
	// RetryAfter is the mean delay after all sources failed.
	RetryAfter time.Duration
}

// Store holds the state that a puller updates.
type Store interface {
	Configuration() configuration.Configuration
	RosterVersion() uint64
	Offer(c configuration.Configuration)
	OfferRoster(r roster.Roster)
	Evacuations() evacuation.Evacuations
	// OfferEvacuations is called before Offer for the same response, so that no new flow is
	// routed by a new configuration before the evacuations apply.
	OfferEvacuations(e evacuation.Evacuations)
}

// Puller fetches the newest configuration, roster and evacuations.
type Puller struct {
	settings Settings
	log      hclog.Logger
	store    Store
}

// New returns a Puller that updates a store.
func New(s Settings, log hclog.Logger, st Store) *Puller {
	return &Puller{settings: s, log: log, store: st}
}

// Run polls the sources until the context ends.
func (p *Puller) Run(ctx context.Context) {
	for ctx.Err() == nil && len(p.settings.Sources) > 0 {
		for _, address := range p.settings.Sources {
			p.follow(ctx, address)
		}
		p.waitForRetry(ctx)
	}
}

// waitForRetry waits for 0.5 to 1.5 times RetryAfter. The jitter spreads the retries of
// a fleet that lost its source at the same time.
func (p *Puller) waitForRetry(ctx context.Context) {
	d := p.settings.RetryAfter/2 + time.Duration(rand.Int64N(int64(p.settings.RetryAfter)+1))
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// follow polls a source until it fails or is stale.
func (p *Puller) follow(ctx context.Context, address string) {
	c := rpc.NewClient(address, p.settings.Token)
	defer c.Close()
	for ctx.Err() == nil {
		if err := p.Poll(ctx, c, p.settings.Hold); err != nil {
			p.log.Debug("source failed", "Address", address, "Error", err)
			return
		}
	}
}

// StaleSourceError reports a partitioned source: the source responds, but cannot know
// whether its revision is the newest. The next source is then tried.
type StaleSourceError struct{ Revision uint64 }

func (e *StaleSourceError) Error() string {
	return fmt.Sprintf("source has revision %d and cannot tell whether it is the newest", e.Revision)
}

// Poll sends a request to a source and passes the response to the store. The source may delay
// the response by up to hold.
func (p *Puller) Poll(ctx context.Context, c *rpc.Client, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, hold+p.settings.Grace)
	defer cancel()
	held := p.store.Configuration()
	request := source.Request{Revision: held.Revision, RosterVersion: p.store.RosterVersion(), Evacuations: p.store.Evacuations().Revision, Hold: hold}
	response, err := rpc.Call[source.Request, history.Response](ctx, c, source.Method, request)
	if err != nil {
		return err
	}
	if response.Evacuations != nil {
		p.store.OfferEvacuations(*response.Evacuations)
	}
	if response.Roster != nil {
		p.store.OfferRoster(*response.Roster)
	}
	next, err := history.Apply(held, response)
	if err != nil {
		p.log.Warn("delta does not match, requesting full configuration", "Error", err)
		return p.requestFull(ctx, c)
	}
	if next.Revision > held.Revision {
		p.store.Offer(next)
	}
	if !response.Current && response.Revision <= held.Revision && response.Roster == nil && response.Evacuations == nil {
		return &StaleSourceError{Revision: response.Revision}
	}
	return nil
}

func (p *Puller) requestFull(ctx context.Context, c *rpc.Client) error {
	response, err := rpc.Call[source.Request, history.Response](ctx, c, source.Method, source.Request{})
	if err != nil {
		return err
	}
	if response.Whole != nil {
		p.store.Offer(*response.Whole)
	}
	return nil
}
