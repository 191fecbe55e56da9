package router

import (
	"slices"
	"time"
)

const (
	// A pending request is overdue from the age overdueAfter, or overdueFactor times the
	// median response time of its service if that is longer. An overdue request no longer counts
	// towards the service's effectiveInFlight: its packets were lost, or its upstream is down or
	// hangs.
	overdueAfter  = 300 * time.Millisecond
	overdueFactor = 4
	// openingOverdueAfter is the age from which a pending opening is overdue: upstreams accept
	// connections without occupying a slot, within a few round trips between zones.
	openingOverdueAfter = 100 * time.Millisecond
)

// pendingAnswer is a flow that waits for the answer to a packet sent at the given time.
type pendingAnswer struct {
	flow   *flow
	target *target
	sent   time.Time
}

// stillPending reports whether the flow still waits for the same answer.
func (p pendingAnswer) stillPending() bool {
	f := p.flow
	return f.target == p.target && f.sent.Equal(p.sent) && (f.opening || f.requestPending)
}

// pendingQueue holds pending answers in the order in which their packets were sent; processed
// is how many at its front have reached the queue's age limit and are not yet removed.
type pendingQueue struct {
	pending   []pendingAnswer
	processed int
}

func (q *pendingQueue) add(f *flow) {
	q.pending = append(q.pending, pendingAnswer{flow: f, target: f.target, sent: f.sent})
}

// expire calls a function once for each entry that has reached the given age.
func (q *pendingQueue) expire(now time.Time, age time.Duration, onExpired func(pendingAnswer)) {
	for q.processed < len(q.pending) && now.Sub(q.pending[q.processed].sent) >= age {
		onExpired(q.pending[q.processed])
		q.processed++
	}
	if 2*q.processed >= len(q.pending) {
		q.pending = slices.Delete(q.pending, 0, q.processed)
		q.processed = 0
	}
}

// awaitAnswer queues the flow's pending answer. If the upstream is suspected, the answer
// counts as overdue at once, and not towards the service's effectiveInFlight.
func (f *flow) awaitAnswer(now time.Time) {
	s := f.target.service
	if f.opening {
		s.openings.add(f)
		s.refusalChecks.add(f)
	} else {
		s.requests.add(f)
	}
	f.setOverdue(f.target.suspectedLocally(now) || f.target.suspectedByVoters())
}

// markOverdue marks the flows that have waited too long as overdue.
func (s *service) markOverdue(now time.Time) {
	overdue := func(p pendingAnswer) {
		if p.stillPending() {
			p.target.load.occupied.Advance(now)
			p.flow.setOverdue(true)
		}
	}
	s.openings.expire(now, openingOverdueAfter, overdue)
	s.requests.expire(now, max(overdueAfter, overdueFactor*s.medianResponseTime), overdue)
}

// setOverdue sets whether the flow's pending answer is overdue, and updates the service's count of
// overdue answers. It must be called before requestPending is cleared, since requests that are not
// overdue occupy slots.
func (f *flow) setOverdue(overdue bool) {
	if f.overdue == overdue {
		return
	}
	f.overdue = overdue
	change := 1
	if !overdue {
		change = -1
	}
	f.target.service.overdue += change
	if f.requestPending {
		f.addOccupied(-change)
	}
}
