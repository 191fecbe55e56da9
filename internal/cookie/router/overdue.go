package router

import (
	"slices"
	"time"
)

const (
	// overdueAfter is the age from which a pending request no longer occupies its upstream,
	// or overdueTimes the median response time of the service if that is longer: its
	// packets were lost, or its upstream is down or hangs.
	overdueAfter = 300 * time.Millisecond
	overdueTimes = 4
	// openingOverdueAfter is the same for an opening: upstreams accept connections without
	// occupying a slot, within a few round trips between zones.
	openingOverdueAfter = 100 * time.Millisecond
)

// pendingAnswer is a flow that waits for the answer to a packet sent at the given time.
type pendingAnswer struct {
	flow   *flow
	target *target
	sent   time.Time
}

// stillPending reports whether the flow still waits for the same answer.
func (w pendingAnswer) stillPending() bool {
	f := w.flow
	return f.target == w.target && f.sent.Equal(w.sent) && (f.opening || f.requestPending)
}

// pendingQueue holds pending answers in the order in which their packets were sent. The
// first expired of them have been processed.
type pendingQueue struct {
	pending []pendingAnswer
	expired int
}

func (w *pendingQueue) add(f *flow) {
	w.pending = append(w.pending, pendingAnswer{flow: f, target: f.target, sent: f.sent})
}

// expire calls a function once for each entry that has reached the given age.
func (w *pendingQueue) expire(now time.Time, age time.Duration, onExpired func(pendingAnswer)) {
	for w.expired < len(w.pending) && now.Sub(w.pending[w.expired].sent) >= age {
		onExpired(w.pending[w.expired])
		w.expired++
	}
	if 2*w.expired >= len(w.pending) {
		w.pending = slices.Delete(w.pending, 0, w.expired)
		w.expired = 0
	}
}

// awaitAnswer queues the flow's pending answer. If the upstream is suspected, the answer
// counts as overdue at once and does not occupy the upstream.
func (f *flow) awaitAnswer(now time.Time) {
	s := f.target.service
	if f.opening {
		s.openings.add(f)
		s.handshakes.add(f)
	} else {
		s.requests.add(f)
	}
	f.setOverdue(f.target.suspected(now) || f.target.suspectedByVoters())
}

// expire marks flows as overdue that have waited too long.
func (s *service) expire(now time.Time) {
	overdue := func(w pendingAnswer) {
		if w.stillPending() {
			w.flow.setOverdue(true)
		}
	}
	s.openings.expire(now, openingOverdueAfter, overdue)
	s.requests.expire(now, max(overdueAfter, overdueTimes*s.medianResponseTime), overdue)
}

// setOverdue sets whether the flow's pending answer is overdue.
func (f *flow) setOverdue(is bool) {
	if f.overdue == is {
		return
	}
	f.overdue = is
	if is {
		f.target.service.overdue++
	} else {
		f.target.service.overdue--
	}
}
