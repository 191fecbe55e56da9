package dispatch

import (
	"slices"
	"time"
)

// limit is the requests that this balancer may have in flight at an upstream.
func (d *Dispatch) limit(t *target) int {
	n := min(t.Slots, d.settings.SlotLimit)
	return max(int(float64(n)*t.Share+0.5), 1)
}

// pick takes a free home slot first, and else the better of two others that
// did not refuse lately.
func (d *Dispatch) pick(now time.Time, r Request) *target {
	free := make([]*target, 0, len(d.order))
	for _, t := range d.order {
		if d.usable(now, t) && t.outstanding < d.limit(t) && !slices.Contains(r.Avoid, t.Name) {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return nil
	}
	home := slices.DeleteFunc(slices.Clone(free), func(t *target) bool {
		return t.outstanding >= t.Home || now.Before(t.shedUntil)
	})
	if len(home) > 0 {
		return home[d.random.IntN(len(home))]
	}
	if now.Sub(r.Since) < time.Duration(borrowAfter*float64(d.mean)) {
		return nil
	}
	rested := slices.DeleteFunc(free, func(t *target) bool { return now.Before(t.shedUntil) })
	if len(rested) == 0 {
		return nil
	}
	a, b := rested[d.random.IntN(len(rested))], rested[d.random.IntN(len(rested))]
	if load(b) < load(a) {
		return b
	}
	return a
}

func load(t *target) float64 {
	return (float64(t.outstanding) + float64(t.shedStreak)) / (float64(max(t.Slots, 1)) * t.Share)
}

func (d *Dispatch) usable(now time.Time, t *target) bool { return !now.Before(t.ejectedTo) }

// shed remembers a refusal: others' requests fill the upstream, and asking
// again before one ends is in vain. The memory grows with each refusal in a
// row, and is jittered so that balancers do not come back together.
func (d *Dispatch) shed(now time.Time, t *target) {
	t.shedStreak = min(t.shedStreak+1, shedStreakLimit)
	rest := shedMemory * float64(d.mean) * float64(int(1)<<(t.shedStreak-1))
	t.shedUntil = now.Add(time.Duration(rest * (0.5 + d.random.Float64())))
}

// failed ejects an upstream after failures in a row, but never so many that
// less than half of the pool is left: then the fault is likelier elsewhere.
func (d *Dispatch) failed(now time.Time, t *target) {
	t.failures++
	if t.failures < failuresToEject {
		return
	}
	out := 1
	for _, o := range d.order {
		if o != t && !d.usable(now, o) {
			out++
		}
	}
	if float64(len(d.order)-out) < keepShare*float64(len(d.order)) {
		return
	}
	t.ejectedTo = now.Add(ejectFor << min(t.ejections, ejectLimit))
	t.ejections++
	// One answer or failure after the rest decides again.
	t.failures = failuresToEject - 1
}
