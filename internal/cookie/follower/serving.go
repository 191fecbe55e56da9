package follower

import (
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/relay"
)

// Updates returns the response to a follower's poll without the configuration revision and the
// notices, and reports whether it contains updates from voters.
func (f *Follower) Updates(now time.Time, q relay.Request) (relay.Response, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	origins, updated := f.origins.UpdatesSince(now, q.Known)
	a := relay.Response{
		Origins: origins, FleetVersion: f.membership.Version(), Balancers: f.fleetSize(),
		Voters: lo.Filter(lo.Keys(f.voterSeen), func(v string, _ int) bool { return now.Sub(f.voterSeen[v]) < voterExpiry }),
	}
	if q.Fleet != a.FleetVersion {
		a.Fleet = f.membership.Members()
	}
	if q.TakesUneven {
		all, changed := f.verdicts.Since(now, q.Uneven)
		a.Uneven, updated = all, updated || changed
	}
	return a, updated
}

// UnavailableRevision returns the newest announced revision if this balancer has failed to get it
// for some time, and 0 otherwise. The parameter current is the revision in force.
func (f *Follower) UnavailableRevision(now time.Time, current uint64) uint64 {
	return f.fetcher.unavailableRevision(now, current)
}

// RecordFollowers records the balancers that follow this one.
func (f *Follower) RecordFollowers(now time.Time, all []members.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range all {
		f.followers.Refresh(now, a)
	}
}

// followerReport returns the followers to report to a source, or none if this balancer does not
// report to that source.
func (f *Follower) followerReport(address string) []members.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selection == nil || !lo.Contains(f.reportTargets(), address) {
		return nil
	}
	all := f.followers.Heartbeats(f.settings.Clock())
	if src := f.polled[address]; src != nil && !src.isVoter {
		// Only a parent needs this heartbeat: a voter knows this balancer by its polls.
		all = append(all, members.Heartbeat{Member: f.settings.Self})
	}
	return all
}
