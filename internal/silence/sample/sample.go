package sample

import (
	"time"

	"wasabideal/internal/silence/word"
)

const (
	// window is the time in which the events of one upstream are counted together: the
	// time in which a caller repeats a packet.
	window = 200 * time.Millisecond
	// missedMost is how many unanswered packets of an upstream are passed on in it, and
	// missedEach how many of one balancer: three packets of two balancers suffice as
	// evidence, and some may have been answered meanwhile.
	missedMost = 6
	missedEach = 3
	// answeredMost is how many liveness reports are in any case: one refutes the evidence of
	// before, and another is for a report that is lost. Beyond that one passes that is
	// answeredStep later than the last: a packet is unanswered for much longer before it
	// counts, so that a later liveness report than one that was held back comes in time.
	answeredMost = 2
	answeredStep = 20 * time.Millisecond
)

type subject struct{ incarnation, born uint64 }

type counted struct {
	since            time.Time
	missed, answered int
	byBalancer       map[string]int
	// alive is the latest liveness report that was passed on.
	alive time.Time
}

// Sample counts what was passed on lately.
type Sample struct {
	bySubject map[subject]*counted
	swept     time.Time
}

// New returns an empty sample.
func New() *Sample { return &Sample{bySubject: map[subject]*counted{}} }

// Take returns those of a balancer's events that are to be passed on.
func (s *Sample) Take(now time.Time, from string, events []word.Event) []word.Event {
	s.sweep(now)
	var out []word.Event
	for _, e := range events {
		if s.passes(now, from, e) {
			out = append(out, e)
		}
	}
	return out
}

func (s *Sample) passes(now time.Time, from string, e word.Event) bool {
	k := subject{incarnation: e.Incarnation, born: e.Born}
	c := s.bySubject[k]
	if c == nil || now.Sub(c.since) >= window {
		c = &counted{since: now, byBalancer: map[string]int{}}
		s.bySubject[k] = c
	}
	if e.Answered {
		return c.answers(now.Add(-e.Age))
	}
	if c.missed >= missedMost || c.byBalancer[from] >= missedEach {
		return false
	}
	c.missed++
	c.byBalancer[from]++
	return true
}

func (c *counted) answers(alive time.Time) bool {
	if c.answered >= answeredMost && alive.Sub(c.alive) < answeredStep {
		return false
	}
	c.answered++
	if alive.After(c.alive) {
		c.alive = alive
	}
	return true
}

func (s *Sample) sweep(now time.Time) {
	if now.Sub(s.swept) < window {
		return
	}
	s.swept = now
	for k, c := range s.bySubject {
		if now.Sub(c.since) >= window {
			delete(s.bySubject, k)
		}
	}
}
