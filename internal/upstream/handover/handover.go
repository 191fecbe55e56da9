package handover

import (
	"context"
	"sync"
	"time"

	"wasabideal/internal/model/upstream"
)

// The shares of the time between two announcements of an upstream for which announcements
// wait for others: topShare at a balancer at the top of its zone, belowShare at one below it
// for those that another hands on, ownShare at one two levels or more below for those that
// upstreams make there. An upstream announces itself anew only after the acknowledgement,
// and a second is all that it waits; up to the fourth level the waits add up to 0.7 of the
// time, which is 1.2 s mostly. With an eighth of it everywhere, balancers at the top of a
// zone of 60 took a hundred handovers a second.
const (
	topShare   = 1.0 / 4
	ownShare   = 1.0 / 6
	belowShare = 1.0 / 12
)

// Gather is how long announcements that come every so often wait at a balancer on a level of
// the tree, those that upstreams make there and those that others hand on.
func Gather(every time.Duration, level int, own bool) time.Duration {
	share := belowShare
	switch {
	case level == 0 || own && level == 1:
		share = topShare
	case own:
		share = ownShare
	}
	return time.Duration(share * float64(every))
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
