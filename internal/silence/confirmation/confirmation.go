package confirmation

import (
	"time"

	"wasabideal/internal/silence/probe"
	"wasabideal/internal/silence/word"
)

const (
	// again is the time between two probes of an upstream, and soon that after one which told
	// nothing.
	again = time.Second
	soon  = 100 * time.Millisecond
	// runningMost bounds the probes under way.
	runningMost = 64
	// zoneProbes is how many upstreams of a zone are probed, and zoneGone how many of them must be
	// gone.
	zoneProbes = 4
	zoneGone   = 2
	// forgetAfter is how long an outcome is remembered after its upstream was in doubt last.
	forgetAfter = 5 * time.Second
)

// Suspicion is a doubt with the upstreams on whose packets it rests.
type Suspicion struct {
	word.Doubt
	// Upstreams are the one in doubt, or some of the zone.
	Upstreams []word.Subject
}

// probed is what is known of the host of one upstream.
type probed struct {
	running bool
	// begun and ended are those of the last probe that has ended, outcome what it told.
	begun, ended time.Time
	outcome      probe.Outcome
	// asked is when the upstream was in doubt last.
	asked time.Time
}

// Confirmation is the probes of one voter.
type Confirmation struct {
	hosts   map[word.Subject]*probed
	running int
	version uint64
}

// New returns one without probes.
func New() *Confirmation { return &Confirmation{hosts: map[word.Subject]*probed{}} }

// Version rises whenever a probe has told something new.
func (c *Confirmation) Version() uint64 { return c.version }

// Due returns the upstreams that are to be probed now, and takes them for under way.
func (c *Confirmation) Due(now time.Time, all []Suspicion) []word.Subject {
	var due []word.Subject
	for _, s := range all {
		for _, u := range s.chosen() {
			h := c.hosts[u]
			if h == nil {
				h = &probed{}
				c.hosts[u] = h
			}
			h.asked = now
			if c.running < runningMost && h.due(now, now.Add(-s.Age)) {
				h.running = true
				c.running++
				due = append(due, u)
			}
		}
	}
	for u, h := range c.hosts {
		if !h.running && now.Sub(h.asked) > forgetAfter {
			delete(c.hosts, u)
		}
	}
	return due
}

// due says that a host is to be probed for a doubt that rests on packets since a time.
func (h *probed) due(now, first time.Time) bool {
	switch {
	case h.running:
		return false
	case h.ended.IsZero(), h.begun.Before(first) && now.Sub(h.ended) >= soon:
		return true
	case h.outcome == probe.Inconclusive:
		return now.Sub(h.ended) >= soon
	default:
		return now.Sub(h.ended) >= again
	}
}

// Probed takes the outcome of a probe that Due asked for.
func (c *Confirmation) Probed(now, begun time.Time, u word.Subject, o probe.Outcome) {
	h := c.hosts[u]
	if h == nil || !h.running {
		return
	}
	h.running = false
	c.running--
	if o.Gone() != h.outcome.Gone() {
		c.version++
	}
	h.begun, h.ended, h.outcome = begun, now, o
}

// Confirm returns the doubts, unresponsive only where probes say so as well.
func (c *Confirmation) Confirm(now time.Time, all []Suspicion) []word.Doubt {
	out := make([]word.Doubt, 0, len(all))
	for _, s := range all {
		d := s.Doubt
		d.Unresponsive = d.Unresponsive && c.confirms(now, s)
		out = append(out, d)
	}
	return out
}

func (c *Confirmation) confirms(now time.Time, s Suspicion) bool {
	gone := 0
	for _, u := range s.chosen() {
		h := c.hosts[u]
		if h == nil || h.begun.Before(now.Add(-s.Age)) {
			continue
		}
		if h.outcome == probe.Accepted {
			return false
		}
		if h.outcome.Gone() {
			gone++
		}
	}
	if s.Zone != "" {
		return gone >= zoneGone
	}
	return gone > 0
}

// chosen are the upstreams that are probed for the doubt.
func (s Suspicion) chosen() []word.Subject { return s.Upstreams[:min(len(s.Upstreams), zoneProbes)] }
