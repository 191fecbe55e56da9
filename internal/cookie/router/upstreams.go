package router

import (
	"slices"
	"time"

	"wasabideal/internal/upstream/view"
)

// SetTargets replaces the upstreams known; those that stay keep what was learnt.
func (r *Router) SetTargets(now time.Time, targets []view.Target) {
	r.Update(now, view.Changes{Whole: true, Targets: targets})
}

// Update takes changes of upstreams; those that are not named stay.
func (r *Router) Update(now time.Time, c view.Changes) {
	if r.drawn.IsZero() {
		r.drawn = now
	}
	for _, x := range c.Targets {
		r.put(now, x)
	}
	for _, id := range c.Gone {
		r.drop(id)
	}
	if c.Whole {
		r.dropOthers(c.Targets)
	}
}

// dropOthers forgets all upstreams that are not named.
func (r *Router) dropOthers(named []view.Target) {
	stays := make(map[uint64]bool, len(named))
	for _, x := range named {
		stays[x.Incarnation] = true
	}
	for id := range r.targets {
		if !stays[id] {
			r.drop(id)
		}
	}
}

func (r *Router) put(now time.Time, x view.Target) {
	t := r.targets[x.Incarnation]
	if t != nil && t.Born != x.Born {
		r.endLife(now, t)
		t = nil
	}
	if t == nil {
		t = &target{cookie: Cookie(x.Incarnation, x.Born)}
		// Two upstreams with one cookie cannot be told apart: the later one takes
		// no flow, so that no packet of the other's flows reaches it.
		t.clash = r.cookies[t.cookie] != nil
		t.service = r.service(x.Service)
		r.targets[x.Incarnation] = t
		r.zone(x.Zone).refusals.until = time.Time{}
	}
	if x.Ended && !t.Ended {
		t.endKnown = now
	}
	t.Target, t.zone = x, r.zone(x.Zone)
	if !t.clash {
		r.cookies[t.cookie] = t
	}
	r.enlist(t)
}

// endLife notes that the life of an upstream is over, since it started again. Packets of its
// flows go to the new life as long as any may be open, see successor.
func (r *Router) endLife(now time.Time, t *target) {
	t.Ended, t.endKnown = true, now
	t.leavePool()
	delete(r.targets, t.Incarnation)
	if !t.clash {
		r.former = append(r.former, formerLife{target: t, since: now})
	}
}

// successor returns the present life of an upstream whose former one is over, nil where there
// is none in the same service. Only the upstream knows which flows are its own: some that carry
// the cookie of the former life were opened after the restart, before it was announced. It
// resets the others.
func (r *Router) successor(t *target) *target {
	if !t.Ended {
		return nil
	}
	next := r.targets[t.Incarnation]
	if next == nil || next == t || next.clash || next.Service != t.Service {
		return nil
	}
	return next
}

// forgetFormer forgets the lives whose flows are all over.
func (r *Router) forgetFormer(now time.Time) {
	for len(r.former) > 0 && now.Sub(r.former[0].since) > formerFor {
		delete(r.cookies, r.former[0].target.cookie)
		r.former = r.former[1:]
	}
}

func (r *Router) drop(id uint64) {
	t := r.targets[id]
	if t == nil {
		return
	}
	t.leavePool()
	delete(r.targets, id)
	if !t.clash {
		delete(r.cookies, t.cookie)
	}
}

// Upstreams returns the number of upstreams known.
func (r *Router) Upstreams() int { return len(r.targets) }

// Pool returns the incarnations that take new flows of a service, in order.
func (r *Router) Pool(service string) []uint64 {
	ids := []uint64{}
	if p := r.pools[service]; p != nil {
		for _, t := range slices.Concat(p.own(), p.others()) {
			ids = append(ids, t.Incarnation)
		}
	}
	slices.Sort(ids)
	return ids
}
