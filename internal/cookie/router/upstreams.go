package router

import (
	"slices"
	"time"

	"wasabideal/internal/cookie/allocation"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/upstream/view"
)

// SetTargets replaces all upstreams; upstreams that remain keep their state.
func (r *Router) SetTargets(now time.Time, targets []view.Target) {
	r.Update(now, view.Changes{Whole: true, Targets: targets})
}

// Update applies changes of upstreams. Upstreams that are not listed remain, unless Whole
// is set.
func (r *Router) Update(now time.Time, c view.Changes) {
	if r.targetsKnownAt.IsZero() {
		r.targetsKnownAt = now
	}
	for _, x := range c.Targets {
		r.setTarget(now, x)
	}
	for _, id := range c.Removed {
		r.removeTarget(now, id)
	}
	if c.Whole {
		r.removeOthers(now, c.Targets)
	}
	r.applyCookieChanges()
}

// removeOthers removes all upstreams except the given ones.
func (r *Router) removeOthers(now time.Time, kept []view.Target) {
	keep := make(map[uint64]bool, len(kept))
	for _, x := range kept {
		keep[x.Incarnation] = true
	}
	for id := range r.targets {
		if !keep[id] {
			r.removeTarget(now, id)
		}
	}
}

func (r *Router) setTarget(now time.Time, x view.Target) {
	t := r.targets[x.Incarnation]
	if t != nil && t.Born != x.Born {
		r.endInstance(now, t)
		t = nil
	}
	if t == nil {
		t = r.addTarget(now, x)
		r.targets[x.Incarnation] = t
		r.zone(x.Zone).refusals.avoidUntil = time.Time{}
	}
	if x.Ended && !t.Ended {
		t.endObserved = now
	}
	t.Target, t.zone = x, r.zone(x.Zone)
	r.updatePool(t)
}

// establishedAt returns when an upstream that becomes known now is established (see package allocation).
// Most of those that a starting balancer receives have been known to others for long, and their flows
// must not wait.
func (r *Router) establishedAt(now time.Time, incarnation uint64) time.Time {
	if r.starting(now) && (r.recent == nil || !r.recent(incarnation)) {
		return now
	}
	r.added.Note(now, incarnation)
	return now.Add(r.settling)
}

// starting reports whether the router may not have received all upstreams yet.
func (r *Router) starting(now time.Time) bool {
	return now.Sub(r.targetsKnownAt) < allocation.MaxSettling
}

// SetLevels sets the number of levels of the tree of balancers.
func (r *Router) SetLevels(levels int) {
	r.settling = min(time.Duration(max(levels, 1))*allocation.SettlingPerLevel, allocation.MaxSettling)
}

// SetRecent sets whether the source of the next update has known an upstream for less than
// allocation.MaxSettling. Such upstreams are not established when this balancer hears of them while it starts.
func (r *Router) SetRecent(recent func(incarnation uint64) bool) { r.recent = recent }

// Recent returns the upstreams that became known a short time ago.
func (r *Router) Recent(now time.Time) recent.Set { return r.added.Recent(now) }

// addTarget returns a new upstream with its cookies, or the former one if it was forgotten a short time ago: its
// flows are still stored, and count in the load that it had.
func (r *Router) addTarget(now time.Time, x view.Target) *target {
	i := allocation.Instance{Incarnation: x.Incarnation, Born: x.Born}
	if h := r.cookies.Restore(i); h != nil {
		h.Value.forgotten = false
		return h.Value
	}
	t := &target{Target: x, service: r.service(x.Service)}
	t.load = t.service.load.zone(x.Zone)
	r.cookies.Add(now, &t.cookies, i, t, r.establishedAt(now, x.Incarnation))
	return t
}

// endInstance records that an upstream has restarted. While flows of the old instance may be
// open, their packets go to the new instance; see successor.
func (r *Router) endInstance(now time.Time, t *target) {
	t.Ended, t.endObserved = true, now
	t.removeFromPool()
	delete(r.targets, t.Incarnation)
	r.cookies.Retire(now, &t.cookies)
}

// successor returns the current instance of an upstream that has restarted, or nil if there is none
// in the same service. Only the current instance knows which flows are open: some flows with the
// old cookie were opened after the restart, before the restart was announced. The current instance
// resets the other flows.
func (r *Router) successor(t *target) *target {
	if !t.Ended {
		return nil
	}
	next := r.targets[t.Incarnation]
	if next == nil || next == t || next.Service != t.Service {
		return nil
	}
	return next
}

func (r *Router) removeTarget(now time.Time, id uint64) {
	t := r.targets[id]
	if t == nil {
		return
	}
	t.removeFromPool()
	delete(r.targets, id)
	t.forgotten = true
	r.cookies.Retire(now, &t.cookies)
}

// Upstreams returns the number of known upstreams.
func (r *Router) Upstreams() int { return len(r.targets) }

// Pool returns the sorted incarnations of a service's upstreams that get new flows.
func (r *Router) Pool(service string) []uint64 {
	ids := []uint64{}
	if p := r.pools[service]; p != nil {
		for _, t := range slices.Concat(p.local(), p.remote()) {
			ids = append(ids, t.Incarnation)
		}
	}
	slices.Sort(ids)
	return ids
}
