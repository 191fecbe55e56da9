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

// Method is the name of the RPC method for followers.
const Method = "Configuration.Since"

// maxDeltas is how many changes a follower may miss and still get deltas.
const maxDeltas = 1024

// Request is a follower's request, with the versions that the follower has.
type Request struct {
	Revision uint64
	// RosterVersion is the version of the roster.
	RosterVersion uint64
	// Evacuations is the revision of the evacuated availability zones.
	Evacuations uint64
	// Hold is how long the response may be delayed to wait for a change.
	Hold time.Duration
}

// Source serves the newest configuration, roster and evacuations to followers.
type Source struct {
	mu          sync.Mutex
	history     history.History
	roster      roster.Roster
	evacuations evacuation.Evacuations
	// changed is closed and replaced when anything changes.
	changed chan struct{}
	current func() bool
}

// New returns a Source without a configuration; current reports whether this
// process knows that its newest revision is the newest accepted one.
func New(current func() bool) *Source {
	return &Source{history: history.New(maxDeltas), changed: make(chan struct{}), current: current}
}

// Serve registers the RPC method with a server.
func (s *Source) Serve(r *rpc.Server, token string) {
	rpc.Handle(r, Method, token, func(ctx context.Context, request Request) (history.Response, error) {
		return s.Since(ctx, request), nil
	})
}

// Publish sends a newer configuration to followers; an older one is ignored.
func (s *Source) Publish(c configuration.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.history.Current().Revision {
		return
	}
	s.history = s.history.With(c)
	s.notify()
}

// PublishEvacuations sends newer evacuations to followers; older ones are ignored.
func (s *Source) PublishEvacuations(e evacuation.Evacuations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Revision > s.evacuations.Revision {
		s.evacuations = e
		s.notify()
	}
}

// History returns the newest configuration with the latest deltas.
func (s *Source) History() history.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history
}

// PublishRoster sends a newer roster to followers; an older one is ignored.
func (s *Source) PublishRoster(r roster.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Version <= s.roster.Version {
		return
	}
	s.roster = r
	s.notify()
}

func (s *Source) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since responds as soon as there are changes for the follower, or after request.Hold.
func (s *Source) Since(ctx context.Context, request Request) history.Response {
	hold := time.NewTimer(request.Hold)
	defer hold.Stop()
	for {
		x, changed := s.state()
		if x.hasChanges(request) {
			return s.respond(x, request)
		}
		select {
		case <-changed:
		case <-hold.C:
			return s.respond(x, request)
		case <-ctx.Done():
			return s.respond(x, request)
		}
	}
}

// state is the state of a source at one time.
type state struct {
	history     history.History
	roster      roster.Roster
	evacuations evacuation.Evacuations
}

// hasChanges reports whether anything is newer than what the follower has.
func (x state) hasChanges(request Request) bool {
	return x.history.Current().Revision > request.Revision || x.roster.Version > request.RosterVersion || x.evacuations.Revision > request.Evacuations
}

func (s *Source) state() (state, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state{history: s.history, roster: s.roster, evacuations: s.evacuations}, s.changed
}

func (s *Source) respond(x state, request Request) history.Response {
	response := x.history.Since(request.Revision)
	response.Current = s.current()
	if x.roster.Version > request.RosterVersion {
		response.Roster = &x.roster
	}
	if x.evacuations.Revision > request.Evacuations {
		response.Evacuations = &x.evacuations
	}
	return response
}
