package follower

import (
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/relay"
)

// News answers a follower's poll, except for the configuration revision and the notices. It reports
// whether the answer contains anything new.
func (f *Follower) News(now time.Time, q relay.Question) (relay.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	origins, updated := f.origins.After(now, q.Known)
	a := relay.Answer{
		Origins: origins, FleetVersion: f.census.Version(), Balancers: f.fleetSize(),
		Voters: lo.Filter(lo.Keys(f.voterSeen), func(v string, _ int) bool { return now.Sub(f.voterSeen[v]) < voterExpiry }),
	}
	if q.Fleet != a.FleetVersion {
		a.Fleet = f.census.Members()
	}
	return a, updated
}

// Missing returns the newest announced revision that this balancer has failed to get for some time,
// 0 if there is none.
func (f *Follower) Missing(now time.Time, held uint64) uint64 {
	return f.fetcher.unavailableRevision(now, held)
}

// Attend records the balancers that follow this one.
func (f *Follower) Attend(now time.Time, all []members.Attendance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range all {
		f.followers.Hear(now, a)
	}
}

// followerReport returns the followers to report to a source, none unless reports go to that
// source.
func (f *Follower) followerReport(address string) []members.Attendance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selection == nil || !lo.Contains(f.reportTargets(), address) {
		return nil
	}
	all := f.followers.Attendances(f.settings.Clock())
	if w := f.watches[address]; w != nil && !w.voter {
		// A voter learns of this balancer from its polls.
		all = append(all, members.Attendance{Member: f.settings.Self})
	}
	return all
}
