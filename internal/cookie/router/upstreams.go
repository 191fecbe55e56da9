package router

import (
	"slices"
	"time"

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
		r.removeTarget(id)
	}
	if c.Whole {
		r.removeOthers(c.Targets)
	}
}

// removeOthers removes all upstreams except the given ones.
func (r *Router) removeOthers(kept []view.Target) {
	keep := make(map[uint64]bool, len(kept))
	for _, x := range kept {
		keep[x.Incarnation] = true
	}
	for id := range r.targets {
		if !keep[id] {
			r.removeTarget(id)
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
		t = &target{cookie: Cookie(x.Incarnation, x.Born)}
		// Two upstreams with the same cookie cannot be distinguished: the later one gets no
		// flows, so that all packets with the cookie belong to the earlier one.
		if holder := r.cookies[t.cookie]; holder != nil {
			t.cookieCollision = true
			r.noteSharedCookie(holder, x)
		}
		t.service = r.service(x.Service)
		t.load = t.service.load.zone(x.Zone)
		r.targets[x.Incarnation] = t
		r.zone(x.Zone).refusals.avoidUntil = time.Time{}
	}
	if x.Ended && !t.Ended {
		t.endObserved = now
	}
	t.Target, t.zone = x, r.zone(x.Zone)
	if !t.cookieCollision {
		r.cookies[t.cookie] = t
	}
	r.updatePool(t)
}

// noteSharedCookie reports that a new upstream has the cookie of another one.
func (r *Router) noteSharedCookie(holder *target, other view.Target) {
	if r.settings.CookieShared != nil {
		r.settings.CookieShared(SharedCookie{Cookie: holder.cookie, Holder: holder.Target, Other: other})
	}
}

// endInstance records that an upstream has restarted. While flows of the old instance may be
// open, their packets go to the new instance; see successor.
func (r *Router) endInstance(now time.Time, t *target) {
	t.Ended, t.endObserved = true, now
	t.removeFromPool()
	delete(r.targets, t.Incarnation)
	if !t.cookieCollision {
		r.formerInstances = append(r.formerInstances, formerInstance{target: t, since: now})
	}
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
	if next == nil || next == t || next.cookieCollision || next.Service != t.Service {
		return nil
	}
	return next
}

// expireFormerInstances removes earlier instances after formerInstanceTTL, when their flows
// have all ended.
func (r *Router) expireFormerInstances(now time.Time) {
	for len(r.formerInstances) > 0 && now.Sub(r.formerInstances[0].since) > formerInstanceTTL {
		delete(r.cookies, r.formerInstances[0].target.cookie)
		r.formerInstances = r.formerInstances[1:]
	}
}

func (r *Router) removeTarget(id uint64) {
	t := r.targets[id]
	if t == nil {
		return
	}
	t.removeFromPool()
	delete(r.targets, id)
	if !t.cookieCollision {
		delete(r.cookies, t.cookie)
	}
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
