package slowstart

import (
	"slices"
	"time"
)

const (
	// window is the span of time in which an upstream bears so many requests, any such span.
	window = time.Second
	// share is the part of what an upstream bears that one balancer sends. A second one may
	// take itself for the upstream's own while their lists of balancers differ, and both
	// stay within one and a half times of it.
	share = 0.75
)

// Window is the flows that one balancer opened at a cold upstream in the last second; the
// zero value has none. One goroutine owns it.
type Window struct{ opened []time.Time }

// Take says whether an upstream that bears so many requests a second may get another flow,
// and notes it if so.
func (w *Window) Take(now time.Time, perSecond float64) bool {
	if !w.Allows(now, perSecond) {
		return false
	}
	w.opened = append(w.opened, now)
	return true
}

// Allows says whether it may, and notes nothing.
func (w *Window) Allows(now time.Time, perSecond float64) bool {
	old, _ := slices.BinarySearchFunc(w.opened, now.Add(-window), func(at, from time.Time) int {
		if at.After(from) {
			return 1
		}
		return -1
	})
	w.opened = slices.Delete(w.opened, 0, old)
	return len(w.opened) < most(perSecond)
}

// most is the flows in a window: at least one where the upstream bears one at all.
func most(perSecond float64) int {
	if perSecond < 1 {
		return 0
	}
	return max(int(share*perSecond), 1)
}
