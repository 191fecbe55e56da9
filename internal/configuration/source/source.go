package source

import (
	"context"
	"sync"
	"time"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/roster"
	"wasabideal/internal/wire/rpc"
)

// Method is the name of the call that followers make.
const Method = "Configuration.Since"

// deltasKept is how many changes a follower may miss and still get deltas.
const deltasKept = 1024

// Question is what a follower asks.
type Question struct {
	Revision uint64
	// RosterVersion is that of the roster held.
	RosterVersion uint64
	// Evacuations is the revision of the orders for availability zones that is held.
	Evacuations uint64
	// Hold is how long the answer may wait for a newer revision.
	Hold time.Duration
}

// Source holds the newest configuration for any number of followers.
type Source struct {
	mu      sync.Mutex
	history history.History
	roster  roster.Roster
	// evacuations are the orders for availability zones.
	evacuations evacuation.Evacuations
	changed     chan struct{}
	current     func() bool
}

// New returns a source without a configuration; current says whether this
// process knows that its newest revision is the newest accepted.
func New(current func() bool) *Source {
	return &Source{history: history.New(deltasKept), changed: make(chan struct{}), current: current}
}

// Serve adds the source's method to a server.
func (s *Source) Serve(r *rpc.Server, token string) {
	rpc.Handle(r, Method, token, func(ctx context.Context, q Question) (history.Answer, error) {
		return s.Since(ctx, q), nil
	})
}

// Publish gives followers a newer configuration; an older one is ignored.
func (s *Source) Publish(c configuration.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.history.Current().Revision {
		return
	}
	s.history = s.history.With(c)
	s.wake()
}

// PublishEvacuations gives followers newer orders for availability zones; older ones are
// ignored.
func (s *Source) PublishEvacuations(e evacuation.Evacuations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Revision > s.evacuations.Revision {
		s.evacuations = e
		s.wake()
	}
}

// History returns the newest configuration and how it came about.
func (s *Source) History() history.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history
}

// PublishRoster gives followers a newer roster; an older one is ignored.
func (s *Source) PublishRoster(r roster.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Version <= s.roster.Version {
		return
	}
	s.roster = r
	s.wake()
}

func (s *Source) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since answers at once if there is news, else after the hold or with the news.
func (s *Source) Since(ctx context.Context, q Question) history.Answer {
	hold := time.NewTimer(q.Hold)
	defer hold.Stop()
	for {
		now, changed := s.state()
		if now.news(q) {
			return s.answer(now, q)
		}
		select {
		case <-changed:
		case <-hold.C:
			return s.answer(now, q)
		case <-ctx.Done():
			return s.answer(now, q)
		}
	}
}

// state is what a source has at one time.
type state struct {
	history     history.History
	roster      roster.Roster
	evacuations evacuation.Evacuations
}

// news says that there is anything newer than the follower holds.
func (x state) news(q Question) bool {
	return x.history.Current().Revision > q.Revision || x.roster.Version > q.RosterVersion || x.evacuations.Revision > q.Evacuations
}

func (s *Source) state() (state, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state{history: s.history, roster: s.roster, evacuations: s.evacuations}, s.changed
}

func (s *Source) answer(x state, q Question) history.Answer {
	a := x.history.Since(q.Revision)
	a.Current = s.current()
	if x.roster.Version > q.RosterVersion {
		a.Roster = &x.roster
	}
	if x.evacuations.Revision > q.Evacuations {
		a.Evacuations = &x.evacuations
	}
	return a
}
