package router

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/view"
)

// Settings of one balancer's router.
type Settings struct {
	// Zone is the availability zone of this balancer.
	Zone string
	// Seed differs between balancers: those that start together, and know nothing
	// of each other's flows, would otherwise send their first ones to the same
	// upstreams.
	Seed uint64
	// Off are the mechanisms that are switched off.
	Off mechanism.Off
	// Suspected is told of an upstream that left a packet unanswered, if set.
	Suspected func(view.Target)
	// Opened is told how long the caller of a new flow waited until it was open,
	// as seen here; Answered how long one waited for the answer to a request.
	// Either may be nil.
	Opened, Answered func(time.Duration)
}

// Router decides on each packet; one goroutine owns it.
type Router struct {
	settings Settings
	revision uint64
	routes   map[netip.AddrPort]configuration.Route
	targets  map[uint64]*target
	cookies  map[uint32]*target
	// members are all upstreams of a service, pools those that take new flows.
	members  map[string][]*target
	pools    map[string][]*target
	flows    map[Flow]*flow
	zones    map[string]*zone
	services map[string]*service
	// urgent is the best priority among the routes to each service.
	urgent map[string]int
	swept  time.Time
	// former are the earlier lives of upstreams that started again.
	former []formerLife
	// drawn is when the upstreams were first told.
	drawn  time.Time
	losses losses
	// reports are what voters must be told.
	reports []word.Event
	// turn moves on with each choice, so that equal upstreams take turns.
	turn int
}

// turns bounds where a balancer's first turn may be.
const turns = 1 << 16

// New returns a router that drops everything until it is configured.
func New(s Settings) *Router {
	return &Router{
		settings: s, turn: int(s.Seed % turns), routes: map[netip.AddrPort]configuration.Route{}, targets: map[uint64]*target{},
		cookies: map[uint32]*target{}, members: map[string][]*target{}, pools: map[string][]*target{}, flows: map[Flow]*flow{},
		zones: map[string]*zone{}, services: map[string]*service{}, urgent: map[string]int{},
	}
}

// RevertError is the broken promise that a configuration never goes back.
type RevertError struct{ Held, Offered uint64 }

func (e *RevertError) Error() string { return "broken promise: a configuration never goes back" }

// Configure puts a configuration in force; an older one is refused.
func (r *Router) Configure(c configuration.Configuration) error {
	if c.Revision < r.revision {
		return &RevertError{Held: r.revision, Offered: c.Revision}
	}
	r.revision = c.Revision
	r.routes = make(map[netip.AddrPort]configuration.Route, len(c.Routes))
	r.urgent = map[string]int{}
	for _, x := range c.Routes {
		r.routes[x.Address] = x
		for _, b := range x.Backends() {
			if best, known := r.urgent[b.Service]; !known || x.Priority < best {
				r.urgent[b.Service] = x.Priority
			}
		}
	}
	return nil
}

// Class returns the class of the requests to an address, none where no route has it.
func (r *Router) Class(address netip.AddrPort) configuration.Class { return r.routes[address].Class }

// Revision returns the revision in force, 0 before the first.
func (r *Router) Revision() uint64 { return r.revision }

// settleFor is how long after a start an upstream may not be known yet that is
// there: one announcement's time, and a half. A reset in that time would turn
// callers away for good that only came early. Nor is a service taken for
// overloaded: after an outage all callers come back at once, have waited already,
// and are served within a second. Of 766 requests in the two seconds after one
// 136 failed where they were refused, and 46 without that.
const settleFor = 1800 * time.Millisecond

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
		taking := r.pools[service][:0]
		for _, t := range r.members[service] {
			if t.takesFlows() {
				taking = append(taking, t)
			}
		}
		r.pools[service] = taking
	}
}

// Upstreams returns the number of upstreams known.
func (r *Router) Upstreams() int { return len(r.targets) }

// Pool returns the incarnations that take new flows of a service, in order.
func (r *Router) Pool(service string) []uint64 {
	ids := make([]uint64, 0, len(r.pools[service]))
	for _, t := range r.pools[service] {
		ids = append(ids, t.Incarnation)
	}
	slices.Sort(ids)
	return ids
}

// Route decides on one packet from a caller.
func (r *Router) Route(now time.Time, p Packet) Verdict {
	if p.Opening {
		return r.place(now, p)
	}
	if p.Cookie == 0 {
		return Verdict{Action: Drop, Reason: Stray}
	}
	t := r.cookies[p.Cookie]
	if t == nil {
		return Verdict{Action: Drop, Reason: UnknownCookie}
	}
	if t.Ended {
		v := Verdict{Action: Reset, Reason: Ended, Incarnation: t.Incarnation, Revision: r.revision, Sequence: t.Sequence}
		if p.Reset {
			v.Action = Drop
		}
		return v
	}
	if p.Length > 0 && t.unresponsive() && r.Class(p.Address).Repeatable() {
		if f := r.flows[p.Flow()]; f != nil {
			r.forget(p.Flow(), f)
		}
		return Verdict{Action: Reset, Reason: Unresponsive, Incarnation: t.Incarnation, Revision: r.revision, Sequence: t.Sequence}
	}
	r.note(now, p.Flow(), t, p)
	return r.forward(t, Known)
}

func (r *Router) forward(t *target, why Reason) Verdict {
	return Verdict{
		Action: Forward, Reason: why, To: t.Address, Incarnation: t.Incarnation, Cookie: t.cookie, Revision: r.revision,
		Sequence: t.Sequence, Live: t.Live,
	}
}

// place decides where a new flow goes. A copy goes where the first packet went:
// a second upstream that answers later would draw the caller's packets to a
// flow that is not open there.
func (r *Router) place(now time.Time, p Packet) Verdict {
	if r.revision == 0 {
		return Verdict{Action: Drop, Reason: Unconfigured}
	}
	route, ok := r.routes[p.Address]
	if !ok {
		return Verdict{Action: Reset, Reason: NoRoute, Revision: r.revision}
	}
	k := p.Flow()
	if f := r.flows[k]; f != nil {
		if f.opening {
			r.missed(now, p.Address, f)
		}
		if !f.target.Ended {
			return r.forward(f.target, Repeated)
		}
		r.forget(k, f)
	}
	return r.placeNew(now, k, route)
}

// placeNew decides where a flow goes whose opening was not seen before.
func (r *Router) placeNew(now time.Time, k Flow, route configuration.Route) Verdict {
	number := k.number()
	service := pick(route.Backends(), number)
	settled := now.Sub(r.drawn) >= settleFor || r.settings.Off.Has(mechanism.Settling)
	if v, refused := r.refuses(now, service, route, number); refused && settled {
		return v
	}
	t := r.choose(now, service, route.Class)
	if t == nil && !settled {
		return Verdict{Action: Drop, Reason: NoUpstream, Revision: r.revision}
	}
	if t == nil {
		return Verdict{Action: Reset, Reason: NoUpstream, Revision: r.revision}
	}
	r.open(now, k, t)
	return r.forward(t, Placed)
}

// number spreads flows over the backends of a split route.
func (k Flow) number() uint64 {
	b := k.Caller.Addr().As4()
	return xxhash.Sum64(append(b[:], byte(k.Caller.Port()>>8), byte(k.Caller.Port())))
}

// tell passes a duration to a listener, if there is one.
func tell(listener func(time.Duration), d time.Duration) {
	if listener != nil {
		listener(d)
	}
}

// missed notes an opening or a request that had to be repeated. Where nothing was heard of the other zone since, the zone is
// suspected with it: a zone that is cut off would otherwise cost an opening for
// each of its upstreams, again and again.
func (r *Router) missed(now time.Time, address netip.AddrPort, f *flow) {
	f.repeated = true
	r.unanswered(now, address, f)
	t := f.target
	if r.settings.Off.Has(mechanism.Suspicion) || !t.missed(now, f.sent) {
		return
	}
	if t.Zone != r.settings.Zone && !r.settings.Off.Has(mechanism.ZoneSuspicion) {
		t.zone.missed(now, f.sent)
	}
	if r.settings.Suspected != nil {
		r.settings.Suspected(t.Target)
	}
}
