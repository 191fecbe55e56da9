package sample

import (
	"time"

	"wasabideal/internal/silence/evidence"
)

const (
	// window is the time over which the events of one upstream are counted. Callers retransmit a
	// packet after this time.
	window = 200 * time.Millisecond
	// maxMissed bounds the unanswered packets of an upstream forwarded per window, and
	// maxMissedPerBalancer those that one balancer reported. Three packets from two balancers
	// suffice as evidence; the rest is a margin for packets that are answered late.
	maxMissed            = 6
	maxMissedPerBalancer = 3
	// minAnswered is how many liveness reports of an upstream are always forwarded per window:
	// the first refutes the earlier evidence, and the second covers the loss of a report. Further
	// liveness reports are forwarded if they are at least answeredInterval apart. Packets count
	// as unanswered only after a much longer time, and by then another liveness report has been
	// forwarded.
	minAnswered      = 2
	answeredInterval = 20 * time.Millisecond
	// maxCounts bounds the counts of answers that are forwarded per window, 9 bytes each. Reports
	// are forwarded whole or not at all: the short answers alone would say nothing about the share.
	maxCounts = 128
	// maxCountsPerReport is the number of upstreams in a report.
	maxCountsPerReport = 32
)

// subject identifies one instance of an upstream.
type subject struct{ incarnation, born uint64 }

// counter counts the forwarded events of one subject in the current window.
type counter struct {
	startedAt        time.Time
	missed, answered int
	byBalancer       map[string]int
	// answeredAt is the time of the latest response that was forwarded.
	answeredAt time.Time
}

// Sampler counts the recently forwarded events of each upstream.
type Sampler struct {
	bySubject map[subject]*counter
	sweptAt   time.Time
	// counts is the number of counts forwarded since countsStarted.
	counts        int
	countsStarted time.Time
}

// New returns a Sampler that has counted no events.
func New() *Sampler { return &Sampler{bySubject: map[subject]*counter{}} }

// Filter returns the events of a balancer that are to be forwarded.
func (s *Sampler) Filter(now time.Time, from string, events []evidence.Event) []evidence.Event {
	s.sweep(now)
	var out []evidence.Event
	for _, e := range events {
		if s.allow(now, from, e) {
			out = append(out, e)
		}
	}
	return out
}

// allow reports whether to forward an event, and counts the event if so.
func (s *Sampler) allow(now time.Time, from string, e evidence.Event) bool {
	k := subject{incarnation: e.Incarnation, born: e.Born}
	c := s.bySubject[k]
	if c == nil || now.Sub(c.startedAt) >= window {
		c = &counter{startedAt: now, byBalancer: map[string]int{}}
		s.bySubject[k] = c
	}
	if e.Answered {
		return c.allowAnswered(now.Add(-e.Age))
	}
	if c.missed >= maxMissed || c.byBalancer[from] >= maxMissedPerBalancer {
		return false
	}
	c.missed++
	c.byBalancer[from]++
	return true
}

// allowAnswered reports whether to forward a liveness report, and counts the report if so.
// answeredAt is when the upstream's response was received.
func (c *counter) allowAnswered(answeredAt time.Time) bool {
	if c.answered >= minAnswered && answeredAt.Sub(c.answeredAt) < answeredInterval {
		return false
	}
	c.answered++
	if answeredAt.After(c.answeredAt) {
		c.answeredAt = answeredAt
	}
	return true
}

func (s *Sampler) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < window {
		return
	}
	s.sweptAt = now
	for k, c := range s.bySubject {
		if now.Sub(c.startedAt) >= window {
			delete(s.bySubject, k)
		}
	}
}

// AllowAnswers reports whether to forward the counts of answers in a report, and counts them if so.
func (s *Sampler) AllowAnswers(now time.Time, all []evidence.Answers) bool {
	if now.Sub(s.countsStarted) >= window {
		s.countsStarted, s.counts = now, 0
	}
	n := 0
	for _, a := range all {
		for _, z := range a.Zones {
			n += len(z.Counts)
		}
	}
	if n > maxCountsPerReport || s.counts+n > maxCounts {
		return false
	}
	s.counts += n
	return len(all) > 0
}
