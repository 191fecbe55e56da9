package follower

import (
	"cmp"
	"context"

	"github.com/samber/lo"

	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/upstream/owner"
	"wasabideal/internal/wire/pool"
)

// NobodyError is returned if neither a parent nor a voter is reachable.
type NobodyError struct{}

func (*NobodyError) Error() string {
	return "no voter can be reached from this balancer; announce the upstream elsewhere"
}

// ForwardAnnouncements forwards announcements to the parent. Without a parent, it forwards each
// announcement to the owner of the announced upstream.
func (f *Follower) ForwardAnnouncements(ctx context.Context, all []handover.Announcement) error {
	f.mu.Lock()
	parent := ""
	if f.selection != nil {
		parent = f.selection.Parent()
	}
	voters := f.reachableVoters()
	f.mu.Unlock()
	if parent != "" {
		return f.forwardTo(ctx, parent, all)
	}
	byOwner := lo.GroupBy(all, func(a handover.Announcement) string { return owner.Of(a.Upstream, voters) })
	results := make(chan error, len(byOwner))
	for to, announcements := range byOwner {
		go func() { results <- f.forwardTo(ctx, to, announcements) }()
	}
	var failed error
	for range byOwner {
		failed = cmp.Or(<-results, failed)
	}
	return failed
}

func (f *Follower) forwardTo(ctx context.Context, to string, all []handover.Announcement) error {
	if to == "" {
		return &NobodyError{}
	}
	_, err := pool.Call[[]handover.Announcement, empty](ctx, f.pool, to, upstreams.ForwardMethod, all)
	return err
}

// reachableVoters returns the polled voters that answer, and the unpolled voters whose state is at
// most ContactLease old. Without the unpolled voters, upstreams would change owners whenever fewer
// voters are polled, and each of them would be announced to the whole fleet again. The
// caller holds the lock.
func (f *Follower) reachableVoters() []owner.Voter {
	now := f.settings.Clock()
	var out []owner.Voter
	for a := range f.voterSeen {
		src, polled := f.polled[a]
		if polled && src.responsive || !polled && f.origins.State(now, a).Age <= ContactLease {
			out = append(out, owner.Voter{Address: a, Zone: f.origins.Zone(a)})
		}
	}
	return out
}

// Voters returns the reachable voters.
func (f *Follower) Voters() []owner.Voter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachableVoters()
}

// OtherBalancers returns the other balancers of the zone.
func (f *Follower) OtherBalancers() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Filter(f.membership.Members(), func(m member.Member, _ int) bool { return m.Address != f.settings.Self.Address })
}
