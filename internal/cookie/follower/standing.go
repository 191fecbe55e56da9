package follower

import "time"

// Standing is whom the balancer follows and how old its knowledge is.
type Standing struct {
	// Parent is empty where the voters are followed.
	Parent string
	Level  int
	// Fresh is how many voters were in touch lately, directly or not.
	Fresh int
	// Balancers is how many of the zone are known, Followers how many follow this one,
	// directly or not.
	Balancers, Followers int
	// Age is the time since the voter was in touch that was heard of last.
	Age time.Duration
}

// Level is the balancer's level in the tree of its zone.
func (f *Follower) Level() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selection == nil {
		return 0
	}
	return f.selection.Level()
}

// Standing returns whom the balancer follows.
func (f *Follower) Standing(now time.Time) Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Standing{
		Fresh: f.origins.Fresh(now, f.settings.StaleAfter), Balancers: len(f.census.Members()),
		Followers: len(f.followers.Attendances(now)),
	}
	for i, k := range f.origins.Known(now) {
		if i == 0 || k.Age < s.Age {
			s.Age = k.Age
		}
	}
	if f.selection != nil {
		s.Parent, s.Level = f.selection.Parent(), f.selection.Level()
	}
	return s
}
