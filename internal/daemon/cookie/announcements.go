package cookie

import (
	"context"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/handover"
)

// DepartureError says that an upstream must tell a voter that it leaves.
type DepartureError struct{}

func (*DepartureError) Error() string { return "balancers take no departures; announce it to a voter" }

// StoppingError says that the balancer stops.
type StoppingError struct{}

func (*StoppingError) Error() string { return "this balancer stops; announce the upstream elsewhere" }

// Announce takes an upstream's announcement and returns once a voter holds it.
func (b *Balancer) Announce(ctx context.Context, u upstream.Upstream, cold time.Duration) error {
	switch {
	case u.State != upstream.Ready:
		return &DepartureError{}
	case b.leaving.Load() && b.Refer(u) == "":
		return &StoppingError{}
	}
	return b.fanout.handover.Add(ctx, b.gather(true), handover.Announcement{Upstream: u, Cold: cold})
}

// gather is how long announcements wait here for others.
func (b *Balancer) gather(own bool) time.Duration {
	return handover.Gather(b.settings.AnnounceEvery, b.follower.Level(), own)
}

// Refer returns the address to which an upstream is to announce itself from now on, where
// that is no longer here: those of a balancer that stops would all turn to the voters at
// once.
func (b *Balancer) Refer(u upstream.Upstream) string {
	if !b.leaving.Load() {
		return ""
	}
	x := b.fanout
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.referral.Choose(b.settings.Clock(), u, b.follower.Others())
}
