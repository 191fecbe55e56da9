package confirmation

import (
	"time"

	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/probe"
)

const (
	// probeInterval is the time between two probes of an upstream. retryInterval replaces it
	// after an inconclusive probe, and after a probe that started before the first packet behind
	// the suspicion was sent.
	probeInterval = time.Second
	retryInterval = 100 * time.Millisecond
	// maxRunning bounds the concurrent probes.
	maxRunning = 64
	// zoneProbes is how many upstreams of a zone are probed. The zone is unresponsive only if at
	// least minZoneDown of them are down.
	zoneProbes  = 4
	minZoneDown = 2
	// forgetAfter is how long an outcome is kept after the upstream was last suspected.
	forgetAfter = 5 * time.Second
)

// Candidate is a suspected subject with the upstreams that left packets unanswered.
type Candidate struct {
	evidence.Suspicion
	// Upstreams are the suspected upstream, or some upstreams of the suspected zone.
	Upstreams []evidence.Subject
}

// hostState is the probe state of the host of one upstream.
type hostState struct {
	running bool
	// startedAt and endedAt are the times of the last finished probe, and outcome is its result.
	startedAt, endedAt time.Time
	outcome            probe.Outcome
	// suspectedAt is when the upstream was last suspected.
	suspectedAt time.Time
}

// Confirmer schedules the probes of one voter and keeps their outcomes.
type Confirmer struct {
	hosts   map[evidence.Subject]*hostState
	running int
	version uint64
}

// New returns a Confirmer without outcomes.
func New() *Confirmer { return &Confirmer{hosts: map[evidence.Subject]*hostState{}} }

// Version increases whenever a probe changes whether a host counts as down.
func (c *Confirmer) Version() uint64 { return c.version }

// NextProbes returns the upstreams to probe now and marks their probes as running.
func (c *Confirmer) NextProbes(now time.Time, all []Candidate) []evidence.Subject {
	var due []evidence.Subject
	for _, s := range all {
		for _, u := range s.targets() {
			h := c.hosts[u]
			if h == nil {
				h = &hostState{}
				c.hosts[u] = h
			}
			h.suspectedAt = now
			if c.running < maxRunning && h.due(now, now.Add(-s.Age)) {
				h.running = true
				c.running++
				due = append(due, u)
			}
		}
	}
	for u, h := range c.hosts {
		if !h.running && now.Sub(h.suspectedAt) > forgetAfter {
			delete(c.hosts, u)
		}
	}
	return due
}

// due reports whether to probe a host now. firstSent is when the earliest packet behind the
// suspicion was sent.
func (h *hostState) due(now, firstSent time.Time) bool {
	switch {
	case h.running:
		return false
	case h.endedAt.IsZero(), h.startedAt.Before(firstSent) && now.Sub(h.endedAt) >= retryInterval:
		return true
	case h.outcome == probe.Inconclusive:
		return now.Sub(h.endedAt) >= retryInterval
	default:
		return now.Sub(h.endedAt) >= probeInterval
	}
}

// RecordOutcome records the outcome of a probe that NextProbes requested.
func (c *Confirmer) RecordOutcome(now, startedAt time.Time, u evidence.Subject, o probe.Outcome) {
	h := c.hosts[u]
	if h == nil || !h.running {
		return
	}
	h.running = false
	c.running--
	if o.Down() != h.outcome.Down() {
		c.version++
	}
	h.startedAt, h.endedAt, h.outcome = startedAt, now, o
}

// Confirm returns the suspicions. A subject stays marked as unresponsive only if probes confirm it.
func (c *Confirmer) Confirm(now time.Time, all []Candidate) []evidence.Suspicion {
	out := make([]evidence.Suspicion, 0, len(all))
	for _, s := range all {
		d := s.Suspicion
		d.Unresponsive = d.Unresponsive && c.confirmed(now, s)
		out = append(out, d)
	}
	return out
}

// confirmed reports whether probes since the earliest unanswered packet confirm a suspicion. None
// of the probed upstreams may have accepted a handshake. A suspected upstream must be down; of a
// suspected zone, at least minZoneDown upstreams must be down.
func (c *Confirmer) confirmed(now time.Time, s Candidate) bool {
	down := 0
	for _, u := range s.targets() {
		h := c.hosts[u]
		if h == nil || h.startedAt.Before(now.Add(-s.Age)) {
			continue
		}
		if h.outcome == probe.Accepted {
			return false
		}
		if h.outcome.Down() {
			down++
		}
	}
	if s.Zone != "" {
		return down >= minZoneDown
	}
	return down > 0
}

// targets returns the upstreams to probe for the suspicion.
func (c Candidate) targets() []evidence.Subject {
	return c.Upstreams[:min(len(c.Upstreams), zoneProbes)]
}
