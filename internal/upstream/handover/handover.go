package handover

import (
	"context"
	"sync"
	"time"

	"wasabideal/internal/model/upstream"
)

// The batch delays, as shares of the announcement interval, which is usually 1.2 s. An upstream
// announces itself again only after the acknowledgement, or after waiting a second for it. Down
// to level 4, the delays add up to 0.7 of the interval, 0.8 s. When the share was one eighth at
// every level, the roots of a zone of 60 received a hundred batches per second.
const (
	// rootShare applies at the roots of a zone, and one level below to announcements that
	// upstreams send directly.
	rootShare = 1.0 / 4
	// directShare applies at lower levels to announcements that upstreams send directly.
	directShare = 1.0 / 6
	// forwardedShare applies below the roots to announcements that other balancers forward.
	forwardedShare = 1.0 / 12
)

// BatchDelay returns the batch delay at a level of the balancer tree; level 0 are the roots.
// interval is the announcement interval. direct is true for announcements that upstreams send to
// this balancer, and false for those that other balancers forward to it.
func BatchDelay(interval time.Duration, level int, direct bool) time.Duration {
	share := forwardedShare
	switch {
	case level == 0 || direct && level == 1:
		share = rootShare
	case direct:
		share = directShare
	}
	return time.Duration(share * float64(interval))
}

// sendTimeout bounds one call. An upstream waits a second for the acknowledgement, of which a
// batch delay of rootShare (0.3 s) leaves this part.
const sendTimeout = 700 * time.Millisecond

// Announcement is the announcement of one upstream, with the time since it was received.
type Announcement struct {
	_        struct{} `cbor:",toarray"`
	Upstream upstream.Upstream
	// Cold is the remaining time of the upstream's slow start when the announcement was received.
	Cold time.Duration
	Age  time.Duration
}

// batch holds announcements to send together, by incarnation.
type batch struct {
	pending map[uint64]pending
	// due is the latest time at which the batch is sent.
	due  time.Time
	done chan struct{}
	err  error
}

// pending is an announcement that waits to be sent.
type pending struct {
	upstream.Upstream
	cold       time.Duration
	receivedAt time.Time
}

// Batcher batches announcements; it is safe for concurrent use.
type Batcher struct {
	clock func() time.Time
	send  func(ctx context.Context, all []Announcement) error
	mu    sync.Mutex
	next  *batch
}

// New returns a Batcher that sends its batches with send.
func New(clock func() time.Time, send func(ctx context.Context, all []Announcement) error) *Batcher {
	return &Batcher{clock: clock, send: send}
}

// Add adds announcements to the next batch and returns once that batch has been sent. The batch
// is sent after the delay at the latest.
func (h *Batcher) Add(ctx context.Context, delay time.Duration, all ...Announcement) error {
	b := h.join(delay, all)
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join adds announcements to the next batch and keeps the latest one of each upstream.
func (h *Batcher) join(delay time.Duration, all []Announcement) *batch {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	if h.next == nil {
		h.next = &batch{pending: map[uint64]pending{}, done: make(chan struct{})}
	}
	if b, due := h.next, now.Add(delay); b.due.IsZero() || due.Before(b.due) {
		b.due = due
		time.AfterFunc(delay, func() { h.flush(b) })
	}
	for _, a := range all {
		old, ok := h.next.pending[a.Upstream.Incarnation]
		if !ok || a.Upstream.Later(old.Upstream) {
			h.next.pending[a.Upstream.Incarnation] = pending{Upstream: a.Upstream, cold: a.Cold, receivedAt: now.Add(-a.Age)}
		}
	}
	return h.next
}

// flush sends a batch and reports the result to all callers that wait for it.
func (h *Batcher) flush(b *batch) {
	h.mu.Lock()
	if h.next != b {
		// An announcement with a shorter delay joined later, so the batch was already sent.
		h.mu.Unlock()
		return
	}
	h.next = nil
	now := h.clock()
	all := make([]Announcement, 0, len(b.pending))
	for _, t := range b.pending {
		all = append(all, Announcement{Upstream: t.Upstream, Cold: t.cold, Age: now.Sub(t.receivedAt)})
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	b.err = h.send(ctx, all)
	close(b.done)
}
