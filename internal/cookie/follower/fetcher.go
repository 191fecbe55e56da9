package follower

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/configuration/lag"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/wire/rpc"
)

const (
	// fetchTimeout bounds one fetch from a voter. A configuration of 2,000 routes takes about a
	// second on a busy link of 2 Mbit/s.
	fetchTimeout = 2 * time.Second
	// balancerFetchTimeout bounds one fetch from a balancer, which sends at most 3 kB: 12 ms on an
	// idle link of 2 Mbit/s. A balancer that lost power never answers.
	balancerFetchTimeout = 400 * time.Millisecond
	// fetchBackoff is the pause before a failed source is retried. It doubles up to maxFetchBackoff
	// while every source fails.
	fetchBackoff    = 50 * time.Millisecond
	maxFetchBackoff = time.Second
	// unavailableAfter is how long a balancer may fail to get an announced configuration before it
	// announces the revision to its followers, which then fetch it elsewhere. If it
	// announced the revision earlier, the followers would request from the voters what this
	// balancer is about to receive.
	unavailableAfter = time.Second
)

// fetcher fetches configurations from one source at a time.
type fetcher struct {
	token   string
	traffic *rpc.Traffic
	clock   func() time.Time
	handler Handler
	log     hclog.Logger
	mu      sync.Mutex
	lag     *lag.Tracker
	// voters returns the fallback sources for when a parent does not deliver the revision it
	// announced.
	voters func() []string
	// responsive returns the voters that have been heard of recently, directly or through a parent.
	responsive func() map[string]bool
	// available is the newest revision that each source announced; attempts counts the fetches from
	// a source since the last successful fetch from any source. A newer revision does not reset
	// attempts. When it did, a balancer kept retrying a parent that delivered none of a series of
	// quick changes, and held a configuration replaced 5.5 s earlier.
	available map[string]uint64
	attempts  map[string]int
	wake      chan struct{}
	// behindSince is when a revision newer than lastRevision became known, zero if there is none.
	behindSince  time.Time
	lastRevision uint64
}

func newFetcher(token string, h Handler, voters func() []string, log hclog.Logger) *fetcher {
	return &fetcher{
		voters: voters, token: token, handler: h, log: log, available: map[string]uint64{}, attempts: map[string]int{}, wake: make(chan struct{}, 1),
		clock: time.Now, lag: lag.New(time.Now()), responsive: func() map[string]bool { return nil },
	}
}

// noteRevision records the revision that a source announced.
func (f *fetcher) noteRevision(address string, revision uint64) {
	f.mu.Lock()
	f.available[address] = max(f.available[address], revision)
	f.lag.Announce(f.clock(), address, revision)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// revision returns the newest revision that a source announced.
func (f *fetcher) revision(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.available[address]
}

// unavailableRevision returns the newest announced revision if this balancer is cut off from the
// sources that have it: for unavailableAfter, the balancer has received no newer configuration than
// current. Otherwise it returns 0.
func (f *fetcher) unavailableRevision(now time.Time, current uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := uint64(0)
	for _, revision := range f.available {
		newest = max(newest, revision)
	}
	switch {
	case newest <= current:
		f.behindSince = time.Time{}
		return 0
	case f.behindSince.IsZero() || current > f.lastRevision:
		f.behindSince, f.lastRevision = now, current
	}
	if now.Sub(f.behindSince) < unavailableAfter {
		return 0
	}
	return newest
}

// nextSource returns a source with a revision newer than current, and whether it was tried before. It
// prefers the fewest attempts, then responsive voters, then the newest revision. Voters that have not
// been heard of may take the whole fetchTimeout to fail.
func (f *fetcher) nextSource(current uint64) (string, bool) {
	if !f.knowsNewer(current) {
		// Each poll ends up here, and most announce nothing new.
		return "", false
	}
	responsive := f.responsive()
	f.mu.Lock()
	defer f.mu.Unlock()
	best := ""
	for address, revision := range f.available {
		if revision > current && (best == "" || f.precedes(address, best, responsive)) {
			best = address
		}
	}
	if best == "" {
		return "", false
	}
	f.attempts[best]++
	return best, f.attempts[best] > 1
}

// knowsNewer reports whether any source has announced a revision newer than current.
func (f *fetcher) knowsNewer(current uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.SomeBy(lo.Values(f.available), func(revision uint64) bool { return revision > current })
}

// precedes reports whether source a is to be tried before source b.
func (f *fetcher) precedes(a, b string, responsive map[string]bool) bool {
	switch {
	case f.attempts[a] != f.attempts[b]:
		return f.attempts[a] < f.attempts[b]
	case responsive[a] != responsive[b]:
		return responsive[a]
	default:
		return f.available[a] > f.available[b]
	}
}

// resetAttempts clears the attempt counts after a successful fetch.
func (f *fetcher) resetAttempts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.attempts)
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

// fetchAll fetches until no source has a newer configuration.
func (f *fetcher) fetchAll(ctx context.Context) {
	pause := fetchBackoff
	for {
		current := f.handler.Configuration().Revision
		address, again := f.nextSource(current)
		if address == "" {
			return
		}
		if again {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, maxFetchBackoff)
		}
		err := f.fetch(ctx, address)
		f.recordFetch(address, err)
		if err != nil {
			f.fallBackToVoters(address)
			f.log.Warn("failed to fetch configuration", "Address", address, "Error", err)
			continue
		}
		if f.handler.Configuration().Revision == current {
			// The response was not newer. The source counts as tried: an immediate retry would loop
			// and keep both sides busy.
			f.log.Info("fetched configuration is not newer", "Address", address, "Announced", f.revision(address), "Held", current)
			f.fallBackToVoters(address)
			continue
		}
		f.resetAttempts()
		pause = fetchBackoff
	}
}

// fallBackToVoters makes the voters candidates for a revision that a source announced and did not
// deliver. Balancers serve small configurations only: a large one for several followers would fill
// a balancer's narrow link.
func (f *fetcher) fallBackToVoters(address string) {
	revision := f.revision(address)
	for _, v := range f.voters() {
		if v != address {
			f.noteRevision(v, revision)
		}
	}
}

// setClock sets the clock; the follower is behind from the present time on until it has a configuration.
func (f *fetcher) setClock(clock func() time.Time) { f.clock, f.lag = clock, lag.New(clock()) }

// recordPoll records the result of a long poll.
func (f *fetcher) recordPoll(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.RecordPoll(address, err)
}

// recordFetch records the result of a fetch.
func (f *fetcher) recordFetch(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.RecordFetch(address, err)
}

// lagReport returns the fields of the log line that is due while the process is behind.
func (f *fetcher) lagReport(now time.Time) ([]any, bool) {
	held := f.handler.Configuration().Revision
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.Apply(now, held)
	return f.lag.Report(now)
}

// lagStatus returns the newest announced revision, for how long the process has been behind, and how many
// fetches have failed.
func (f *fetcher) lagStatus(now time.Time) (announced uint64, behind time.Duration, failed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag.Announced(), f.lag.Behind(now), f.lag.FetchesFailed()
}

// timeout returns the time limit of a fetch from a source.
func (f *fetcher) timeout(address string) time.Duration {
	if slices.Contains(f.voters(), address) {
		return fetchTimeout
	}
	return balancerFetchTimeout
}

// fetch gets the newest configuration of a source, as the difference to the current one where
// possible.
func (f *fetcher) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout(address))
	defer cancel()
	client := rpc.NewClient(address, f.token).CountTraffic(f.traffic)
	defer client.Close()
	current := f.handler.Configuration()
	c, err := requestConfiguration(ctx, client, current, current.Revision)
	var gap *history.GapError
	var digest *history.DigestError
	if errors.As(err, &gap) || errors.As(err, &digest) {
		f.log.Warn("cannot apply configuration update, fetching the full configuration", "Address", address, "Error", err)
		c, err = requestConfiguration(ctx, client, current, 0)
	}
	if err != nil {
		return err
	}
	f.handler.OnConfiguration(address, c)
	return nil
}

func requestConfiguration(ctx context.Context, client *rpc.Client, current configuration.Configuration, revision uint64) (configuration.Configuration, error) {
	a, err := rpc.Call[uint64, history.Response](ctx, client, feed.ConfigurationMethod, revision)
	if err != nil {
		return current, err
	}
	return history.Apply(current, a)
}
