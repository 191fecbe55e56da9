package follower

import (
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/relay"
)

// News answers a balancer that follows this one, but for the revision and the notices.
func (f *Follower) News(now time.Time, q relay.Question) (relay.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	origins, news := f.origins.After(now, q.Known)
	a := relay.Answer{
		Origins: origins, FleetVersion: f.census.Version(), Balancers: f.fleetSize(),
		Voters: lo.Filter(lo.Keys(f.named), func(v string, _ int) bool { return now.Sub(f.named[v]) < forgetAfter }),
	}
	if q.Fleet != a.FleetVersion {
		a.Fleet = f.census.Members()
	}
	return a, news
}

// Missing returns the newest revision that this balancer has heard of and cannot get for some
// time, beyond the one that it holds; 0 where there is none.
func (f *Follower) Missing(now time.Time, held uint64) uint64 { return f.fetcher.missing(now, held) }

// Attend notes the balancers that follow this one.
func (f *Follower) Attend(now time.Time, all []members.Attendance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range all {
		f.followers.Hear(now, a)
	}
}

// attendance returns whom to report to a source: nobody where it is not the way up.
func (f *Follower) attendance(address string) []members.Attendance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selection == nil || !lo.Contains(f.upward(), address) {
		return nil
	}
	all := f.followers.Attendances(f.settings.Clock())
	if w := f.watches[address]; w != nil && !w.voter {
		// A voter hears of the balancer itself by its questions.
		all = append(all, members.Attendance{Member: f.settings.Self})
	}
	return all
}
