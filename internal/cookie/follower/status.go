package follower

import "time"

// Status is the position of a balancer in the fan-out tree and the age of its state.
type Status struct {
	// Parent is empty if the voters are polled.
	Parent string
	// Level is the level in the fan-out tree, 0 for a root.
	Level int
	// Fresh is the number of voters whose last contact, direct or relayed, is at most StaleAfter ago.
	Fresh int
	// Balancers is the number of known balancers in the zone, Followers the number of direct and
	// indirect followers.
	Balancers, Followers int
	// Age is the time since the most recent contact with any voter, direct or relayed. It is also 0
	// while no state of any voter is known.
	Age time.Duration
	// Announced is the newest announced revision of the configuration, and Behind the time for which
	// this process has not had it, 0 if it is current. FetchesFailed counts the failed requests for a
	// configuration.
	Announced     uint64
	Behind        time.Duration
	FetchesFailed int
}

// Level returns the balancer's level in the tree of its zone.
func (f *Follower) Level() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selection == nil {
		return 0
	}
	return f.selection.Level()
}

// Status returns the balancer's position and the age of its state.
func (f *Follower) Status(now time.Time) Status {
	announced, behind, failed := f.fetcher.lagStatus(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{
		Announced: announced, Behind: behind, FetchesFailed: failed,
		Fresh: f.origins.CountFresh(now, f.settings.StaleAfter), Balancers: len(f.membership.Members()),
		Followers: len(f.followers.Heartbeats(now)),
	}
	for i, k := range f.origins.VoterVersions(now) {
		if i == 0 || k.Age < s.Age {
			s.Age = k.Age
		}
	}
	if f.selection != nil {
		s.Parent, s.Level = f.selection.Parent(), f.selection.Level()
	}
	return s
}

// ReportReceivers returns the receivers of this balancer's reports: the parent, or "" and the voters
// that answered their last poll.
func (f *Follower) ReportReceivers() (parent string, voters []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.reportTargets()
	if f.selection != nil && f.selection.Parent() != "" {
		return f.selection.Parent(), nil
	}
	return "", targets
}
