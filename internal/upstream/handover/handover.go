package handover

import (
	"context"
	"sync"
	"time"

	"wasabideal/internal/model/upstream"
)

const (
	// gatherTop is how long a balancer at the top of its zone lets announcements wait for
	// others, and gatherBelow how long one below it does with those that another hands on:
	// eight balancers at the top are 27 calls a second for the voter of their zone. With
	// 0.15 s everywhere those at the top took a hundred handovers a second.
	gatherTop   = 300 * time.Millisecond
	gatherBelow = 100 * time.Millisecond
	// gatherOwn is how long announcements wait that upstreams make at a balancer that is two
	// levels or more below the top. Upstreams wait a second for the acknowledgement.
	gatherOwn = 200 * time.Millisecond
)

// Gather is how long announcements wait at a balancer on a level of the tree, those that
// upstreams make there and those that others hand on. On all levels up to the fourth it
// adds up to 0.7 s at the most.
func Gather(level int, own bool) time.Duration {
	switch {
	case level == 0 || own && level == 1:
		return gatherTop
	case own:
		return gatherOwn
	default:
		return gatherBelow
	}
}

// sendTimeout bounds one handover: what is left of the second for all on the way.
const sendTimeout = 700 * time.Millisecond

// Announcement is one upstream's, with the time since it was taken.
type Announcement struct {
	_        struct{} `cbor:",toarray"`
	Upstream upstream.Upstream
	// Cold is how much longer the upstream was slow when it was taken.
	Cold time.Duration
	Age  time.Duration
}

// batch is announcements that are handed on together.
type batch struct {
	taken map[uint64]taken
	// due is when it is handed on at the latest.
	due  time.Time
	done chan struct{}
	err  error
}

type taken struct {
	upstream.Upstream
	cold time.Duration
	at   time.Time
}

// Handover gathers announcements; it is safe for concurrent use.
type Handover struct {
	clock func() time.Time
	send  func(ctx context.Context, all []Announcement) error
	mu    sync.Mutex
	next  *batch
}

// New returns a handover that sends with a function.
func New(clock func() time.Time, send func(ctx context.Context, all []Announcement) error) *Handover {
	return &Handover{clock: clock, send: send}
}

// Add adds announcements to the next batch, which is handed on after a time at the latest,
// and returns once it was.
func (h *Handover) Add(ctx context.Context, gather time.Duration, all ...Announcement) error {
	b := h.join(gather, all)
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Handover) join(gather time.Duration, all []Announcement) *batch {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	if h.next == nil {
		h.next = &batch{taken: map[uint64]taken{}, done: make(chan struct{})}
	}
	if b, due := h.next, now.Add(gather); b.due.IsZero() || due.Before(b.due) {
		b.due = due
		time.AfterFunc(gather, func() { h.flush(b) })
	}
	for _, a := range all {
		old, waits := h.next.taken[a.Upstream.Incarnation]
		if !waits || a.Upstream.Later(old.Upstream) {
			h.next.taken[a.Upstream.Incarnation] = taken{Upstream: a.Upstream, cold: a.Cold, at: now.Add(-a.Age)}
		}
	}
	return h.next
}

func (h *Handover) flush(b *batch) {
	h.mu.Lock()
	if h.next != b {
		// It was due earlier, for another's sake.
		h.mu.Unlock()
		return
	}
	h.next = nil
	now := h.clock()
	all := make([]Announcement, 0, len(b.taken))
	for _, t := range b.taken {
		all = append(all, Announcement{Upstream: t.Upstream, Cold: t.cold, Age: now.Sub(t.at)})
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	b.err = h.send(ctx, all)
	close(b.done)
}
