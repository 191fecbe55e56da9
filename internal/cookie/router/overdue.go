package router

import (
	"slices"
	"time"
)

const (
	// overdueAfter is the age from which a request or an opening takes no room at its
	// upstream any more, and overdueTimes the same in response times of the service, where
	// those are longer. Its packets were lost, or its upstream fell silent or hangs: with
	// 12 of 150 upstreams hanging, requests at those were half of what a balancer had under
	// way, and 8 % of the callers were refused although the other upstreams had room.
	overdueAfter = 300 * time.Millisecond
	overdueTimes = 4
)

// waited is a flow that waits for an answer since a time.
type waited struct {
	flow *flow
	sent time.Time
}

// wait notes that a flow waits for an answer from now on.
func (s *service) wait(f *flow) { s.waited = append(s.waited, waited{flow: f, sent: f.sent}) }

// age marks the flows as overdue that have waited for too long.
func (s *service) age(now time.Time) {
	late := max(overdueAfter, overdueTimes*s.usual)
	for s.aged < len(s.waited) && now.Sub(s.waited[s.aged].sent) >= late {
		w := s.waited[s.aged]
		if w.flow.target.service == s && w.flow.sent.Equal(w.sent) && (w.flow.opening || w.flow.working) {
			w.flow.setOverdue(true)
		}
		s.aged++
	}
	if 2*s.aged >= len(s.waited) {
		s.waited = slices.Delete(s.waited, 0, s.aged)
		s.aged = 0
	}
}

// setOverdue notes whether the answer that the flow waits for is late.
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
