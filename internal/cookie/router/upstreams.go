package router

import (
	"slices"
	"time"

	"wasabideal/internal/cookie/mechanism"
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
	services := map[string]bool{}
	named := make(map[uint64]bool, len(c.Targets))
	for _, x := range c.Targets {
		named[x.Incarnation] = true
		services[x.Service] = true
		r.put(now, x, services)
	}
	for _, id := range c.Gone {
		r.drop(id, services)
	}
	if c.Whole {
		for id := range r.targets {
			if !named[id] {
				r.drop(id, services)
			}
		}
	}
	r.pool(services)
}

func (r *Router) put(now time.Time, x view.Target, services map[string]bool) {
	t := r.targets[x.Incarnation]
	if t != nil && t.Born != x.Born {
		r.endLife(now, t)
		services[t.Service] = true
		t = nil
	}
	if t == nil {
		t = &target{cookie: Cookie(x.Incarnation, x.Born)}
		// Two upstreams with one cookie cannot be told apart: the later one takes
		// no flow, so that no packet of the other's flows reaches it.
		t.clash = r.cookies[t.cookie] != nil
		t.service = r.service(x.Service)
		r.targets[x.Incarnation] = t
		r.members[x.Service] = append(r.members[x.Service], t)
	}
	t.Target, t.zone = x, r.zone(x.Zone)
	if !t.clash {
		r.cookies[t.cookie] = t
	}
}

// endLife notes that the life of an upstream is over, since it started again. Its flows
// are reset as long as any may be open: the new life knows none of them, and their
// callers would wait until they give up.
func (r *Router) endLife(now time.Time, t *target) {
	t.Ended = true
	delete(r.targets, t.Incarnation)
	if !t.clash {
		r.former = append(r.former, formerLife{target: t, since: now})
	}
}

// forgetFormer forgets the lives whose flows are all over.
func (r *Router) forgetFormer(now time.Time) {
	for len(r.former) > 0 && now.Sub(r.former[0].since) > formerFor {
		delete(r.cookies, r.former[0].target.cookie)
		r.former = r.former[1:]
	}
}

func (r *Router) drop(id uint64, services map[string]bool) {
	t := r.targets[id]
	if t == nil {
		return
	}
	services[t.Service] = true
	delete(r.targets, id)
	if !t.clash {
		delete(r.cookies, t.cookie)
	}
}

// pool lists anew who takes new flows of some services.
func (r *Router) pool(services map[string]bool) {
	for service := range services {
		r.members[service] = slices.DeleteFunc(r.members[service], func(t *target) bool {
			return r.targets[t.Incarnation] != t
		})
		r.refill(service)
	}
}

// refill lists who takes new flows of a service, those of the own zone apart.
func (r *Router) refill(service string) {
	p := r.pools[service]
	if p == nil {
		p = &pool{}
		r.pools[service] = p
	}
	p.own, p.others, p.slots = p.own[:0], p.others[:0], 0
	for _, t := range r.members[service] {
		switch {
		case !t.takesFlows() || r.evacuations.Evacuated(t.Zone):
			continue
		case t.Zone == r.settings.Zone || r.settings.Off.Has(mechanism.OwnZone):
			p.own = append(p.own, t)
		default:
			p.others = append(p.others, t)
		}
		p.slots += max(int(t.Slots), 1)
	}
}

// Upstreams returns the number of upstreams known.
func (r *Router) Upstreams() int { return len(r.targets) }

// Pool returns the incarnations that take new flows of a service, in order.
func (r *Router) Pool(service string) []uint64 {
	ids := []uint64{}
	if p := r.pools[service]; p != nil {
		for _, t := range slices.Concat(p.own, p.others) {
			ids = append(ids, t.Incarnation)
		}
	}
	slices.Sort(ids)
	return ids
}
