package cookie

import (
	"context"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/handover"
)

// DepartureError rejects a departure (state draining or withdrawn) that was announced to a balancer.
// Only voters accept departures.
type DepartureError struct{}

func (*DepartureError) Error() string { return "balancers take no departures; announce it to a voter" }

// StoppingError reports that the balancer is stopping and accepts no announcements.
type StoppingError struct{}

func (*StoppingError) Error() string { return "this balancer stops; announce the upstream elsewhere" }

// Announce accepts an upstream's announcement and returns once a voter has stored it. cold is the
// remaining time of the upstream's slow start.
func (b *Balancer) Announce(ctx context.Context, u upstream.Upstream, cold time.Duration) error {
	switch {
	case u.State != upstream.Ready:
		return &DepartureError{}
	case b.leaving.Load() && b.Refer(u) == "":
		return &StoppingError{}
	}
	return b.fanout.announcements.Add(ctx, b.batchDelay(true), handover.Announcement{Upstream: u, Cold: cold})
}

// batchDelay returns how long announcements wait to be forwarded in a batch. own is set for
// announcements that upstreams sent to this balancer itself.
func (b *Balancer) batchDelay(own bool) time.Duration {
	return handover.BatchDelay(b.settings.AnnounceInterval, b.follower.Level(), own)
}

// Refer returns the address to which an upstream announces itself from now on, or "" while this
// balancer accepts its announcements. Without the referral, all upstreams of a stopping balancer
// would fall back to the voters at once.
func (b *Balancer) Refer(u upstream.Upstream) string {
	if !b.leaving.Load() {
		return ""
	}
	x := b.fanout
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.referral.Choose(b.settings.Clock(), u, b.follower.OtherBalancers())
}
