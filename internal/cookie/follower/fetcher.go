package follower

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/wire/rpc"
)

const (
	// fetchTimeout bounds one fetch: a link of 2 Mbit/s that is busy otherwise
	// takes about a second for a configuration of 2,000 routes.
	fetchTimeout = 2 * time.Second
	// passedOnTimeout bounds one from a balancer, which gives 3 kB at the most: 12 ms on a
	// link of 2 Mbit/s, and more where it is busy. One that lost power never answers.
	passedOnTimeout = 400 * time.Millisecond
	// fetchPause is the pause before a source is asked again that failed, doubled up to
	// fetchPauseMost while all go on failing.
	fetchPause     = 50 * time.Millisecond
	fetchPauseMost = time.Second
	// missingAfter is how long a balancer goes without a configuration that it has heard of until
	// its followers are told to fetch that elsewhere. Until then they would only ask the voters
	// for what this one is about to have.
	missingAfter = time.Second
)

// fetcher gets configurations from one voter at a time.
type fetcher struct {
	token    string
	listener Listener
	log      hclog.Logger
	mu       sync.Mutex
	// voters are asked where a balancer that is followed does not give what it spoke of.
	voters func() []string
	// told is the newest revision that each source spoke of; tried counts the fetches
	// from it since one succeeded anywhere. A newer revision makes no source that failed
	// better: while changes came in quick succession a balancer asked the one that it
	// followed again for each of them, which never gave any, and held a configuration that
	// had been replaced 5.5 s before.
	told  map[string]uint64
	tried map[string]int
	wake  chan struct{}
	// behind is since when a newer revision than lastHeld was known here, zero where none is.
	behind   time.Time
	lastHeld uint64
}

func newFetcher(token string, l Listener, voters func() []string, log hclog.Logger) *fetcher {
	return &fetcher{
		voters: voters, token: token, listener: l, log: log, told: map[string]uint64{}, tried: map[string]int{}, wake: make(chan struct{}, 1),
	}
}

// tell notes that a voter has a revision.
func (f *fetcher) tell(address string, revision uint64) {
	f.mu.Lock()
	f.told[address] = max(f.told[address], revision)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// revision returns the newest revision that a source spoke of.
func (f *fetcher) revision(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told[address]
}

// missing returns the newest revision heard of, if this balancer has got no newer one than it
// holds for some time: it is cut off from those who have it. 0 otherwise.
func (f *fetcher) missing(now time.Time, held uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := uint64(0)
	for _, revision := range f.told {
		newest = max(newest, revision)
	}
	switch {
	case newest <= held:
		f.behind = time.Time{}
		return 0
	case f.behind.IsZero() || held > f.lastHeld:
		f.behind, f.lastHeld = now, held
	}
	if now.Sub(f.behind) < missingAfter {
		return 0
	}
	return newest
}

// next returns a source that has more than what is held, least tried first, and of those
// the one with the newest, and whether it was tried before.
func (f *fetcher) next(held uint64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := ""
	for address, revision := range f.told {
		if revision <= held {
			continue
		}
		fewer := f.tried[address] < f.tried[best]
		if best == "" || fewer || f.tried[address] == f.tried[best] && revision > f.told[best] {
			best = address
		}
	}
	if best == "" {
		return "", false
	}
	f.tried[best]++
	return best, f.tried[best] > 1
}

// succeeded notes that a source gave what it spoke of.
func (f *fetcher) succeeded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.tried)
}

func (f *fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		f.fetchAll(ctx)
	}
}

// fetchAll fetches until nobody has more than what is held.
func (f *fetcher) fetchAll(ctx context.Context) {
	pause := fetchPause
	for {
		held := f.listener.Held().Revision
		address, again := f.next(held)
		if address == "" {
			return
		}
		if again {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, fetchPauseMost)
		}
		if err := f.fetch(ctx, address); err != nil {
			f.askVoters(address)
			f.log.Warn("configuration not fetched", "Address", address, "Error", err)
			continue
		}
		if f.listener.Held().Revision == held {
			// It counts as tried: asked again at once, and for ever, it would keep both busy.
			f.askVoters(address)
			continue
		}
		f.succeeded()
		pause = fetchPause
	}
}

// askVoters lets the voters be asked for what a source spoke of and did not give. A
// balancer gives only what is small: several followers would take a large configuration
// over its narrow link.
func (f *fetcher) askVoters(address string) {
	revision := f.revision(address)
	for _, v := range f.voters() {
		if v != address {
			f.tell(v, revision)
		}
	}
}

// timeout bounds a fetch from a source.
func (f *fetcher) timeout(address string) time.Duration {
	if slices.Contains(f.voters(), address) {
		return fetchTimeout
	}
	return passedOnTimeout
}

// fetch gets what leads from the held configuration to the voter's newest.
func (f *fetcher) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout(address))
	defer cancel()
	client := rpc.NewClient(address, f.token)
	defer client.Close()
	held := f.listener.Held()
	c, err := ask(ctx, client, held, held.Revision)
	var gap *history.GapError
	var digest *history.DigestError
	if errors.As(err, &gap) || errors.As(err, &digest) {
		f.log.Warn("configuration cannot be followed", "Address", address, "Error", err)
		c, err = ask(ctx, client, held, 0)
	}
	if err != nil {
		return err
	}
	f.listener.Offered(address, c)
	return nil
}

func ask(ctx context.Context, client *rpc.Client, held configuration.Configuration, revision uint64) (configuration.Configuration, error) {
	a, err := rpc.Call[uint64, history.Answer](ctx, client, feed.ConfigurationMethod, revision)
	if err != nil {
		return held, err
	}
	return history.Follow(held, a)
}
