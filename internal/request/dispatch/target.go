package dispatch

import (
	"slices"
	"time"
)

// limit returns the number of requests that this balancer may have in flight at an
// upstream.
func (d *Dispatcher) limit(t *target) int {
	n := min(t.Slots, d.settings.SlotLimit)
	return max(int(float64(n)*t.Share+0.5), 1)
}

// pick returns an upstream with a free slot assigned to this balancer. If there is none and
// the request has queued for borrowAfter, pick returns the less loaded of two random upstreams
// without a recent rejection. The result is nil if the request must wait.
func (d *Dispatcher) pick(now time.Time, r Request) *target {
	free := make([]*target, 0, len(d.ordered))
	for _, t := range d.ordered {
		if d.usable(now, t) && t.outstanding < d.limit(t) && !slices.Contains(r.Avoid, t.Name) {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return nil
	}
	assigned := slices.DeleteFunc(slices.Clone(free), func(t *target) bool {
		return t.outstanding >= t.AssignedSlots || now.Before(t.shedUntil)
	})
	if len(assigned) > 0 {
		return assigned[d.random.IntN(len(assigned))]
	}
	if now.Sub(r.Since) < time.Duration(borrowAfter*float64(d.meanServiceTime)) {
		return nil
	}
	available := slices.DeleteFunc(free, func(t *target) bool { return now.Before(t.shedUntil) })
	if len(available) == 0 {
		return nil
	}
	a, b := available[d.random.IntN(len(available))], available[d.random.IntN(len(available))]
	if load(b) < load(a) {
		return b
	}
	return a
}

// load returns the requests in flight per usable slot. Each consecutive rejection counts as a
// further request in flight.
func load(t *target) float64 {
	return (float64(t.outstanding) + float64(t.shedStreak)) / (float64(max(t.Slots, 1)) * t.Share)
}

func (d *Dispatcher) usable(now time.Time, t *target) bool { return !now.Before(t.ejectedUntil) }

// recordShed starts a backoff after a rejection: the upstream stays full until one of its
// requests, which other balancers sent, ends. The backoff grows with consecutive rejections, and
// jitter prevents balancers from retrying at the same time.
func (d *Dispatcher) recordShed(now time.Time, t *target) {
	t.shedStreak = min(t.shedStreak+1, shedStreakLimit)
	backoff := shedBackoff * float64(d.meanServiceTime) * float64(int(1)<<(t.shedStreak-1))
	t.shedUntil = now.Add(time.Duration(backoff * (0.5 + d.random.Float64())))
}

// recordFailure ejects an upstream after consecutive failures, unless less than half of the
// pool would remain: the fault is then probably not in the upstreams.
func (d *Dispatcher) recordFailure(now time.Time, t *target) {
	t.failures++
	if t.failures < failuresToEject {
		return
	}
	ejected := 1
	for _, o := range d.ordered {
		if o != t && !d.usable(now, o) {
			ejected++
		}
	}
	if float64(len(d.ordered)-ejected) < minUsableShare*float64(len(d.ordered)) {
		return
	}
	t.ejectedUntil = now.Add(ejectionTime << min(t.ejections, maxEjectionDoublings))
	t.ejections++
	// The next failure ejects the upstream again; a response clears the count.
	t.failures = failuresToEject - 1
}
