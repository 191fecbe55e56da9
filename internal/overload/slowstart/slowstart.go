package slowstart

import (
	"slices"
	"time"
)

const (
	// window is the length of the sliding window to which the rate limit applies.
	window = time.Second
	// share is the part of the upstream's rate that one balancer uses. While balancers have
	// different lists of their peers, two of them may send flows to the same cold upstream;
	// together they stay within one and a half times its rate.
	share = 0.75
)

// Window is the sliding window of the flows that one balancer opened at a cold upstream. The
// zero value is empty. It is not safe for concurrent use.
type Window struct{ opened []time.Time }

// Take records another flow and returns true if the upstream's rate of requests per second
// allows it.
func (w *Window) Take(now time.Time, perSecond float64) bool {
	if !w.Allows(now, perSecond) {
		return false
	}
	w.opened = append(w.opened, now)
	return true
}

// Allows reports whether Take would succeed, without recording a flow.
func (w *Window) Allows(now time.Time, perSecond float64) bool {
	expired, _ := slices.BinarySearchFunc(w.opened, now.Add(-window), func(at, from time.Time) int {
		if at.After(from) {
			return 1
		}
		return -1
	})
	w.opened = slices.Delete(w.opened, 0, expired)
	return len(w.opened) < maxFlows(perSecond)
}

// maxFlows returns the limit of flows in a window: at least one if the upstream accepts one
// request per second.
func maxFlows(perSecond float64) int {
	if perSecond < 1 {
		return 0
	}
	return max(int(share*perSecond), 1)
}
