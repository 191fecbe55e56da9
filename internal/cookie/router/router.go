package router

import (
	"net/netip"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/fanout/assignment"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/view"
)

// Settings of one balancer's router.
type Settings struct {
	// Zone is the availability zone of this balancer.
	Zone string
	// Self names this balancer among those of its zone; see SetPeers. Without it no cold
	// upstream is sent anything whose service says what it bears.
	Self string
	// Started is when the balancer started.
	Started time.Time
	// Seed differs between balancers: those that start together, and know nothing
	// of each other's flows, would otherwise send their first ones to the same
	// upstreams.
	Seed uint64
	// Off are the mechanisms that are switched off.
	Off mechanism.Off
	// Suspected is told of an upstream that left a packet unanswered, if set.
	Suspected func(view.Target)
	// ZoneRefused is told of a zone all of whose upstreams refuse new flows, if set.
	ZoneRefused func(zone string)
	// Reset is told of each flow that is reset though it may be open, if set.
	Reset func(FlowReset)
	// Opened is told how long the caller of a new flow waited until it was open,
	// as seen here; Answered how long one waited for the answer to a request.
	// Either may be nil.
	Opened, Answered func(time.Duration)
}

// Router decides on each packet; one goroutine owns it.
type Router struct {
	settings Settings
	revision uint64
	routes   map[netip.AddrPort]route
	targets  map[uint64]*target
	cookies  map[uint32]*target
	// pools are the upstreams of each service that take new flows.
	pools map[string]*pool
	flows map[Flow]*flow
	// spare are flows that ended, to be used again.
	spare    []*flow
	zones    map[string]*zone
	services map[string]*service
	swept    time.Time
	// former are the earlier lives of upstreams that started again.
	former []formerLife
	// drawn is when the upstreams were first told.
	drawn  time.Time
	losses losses
	// vanished are openings that were refused, those of the last look.
	vanished []waited
	// suspects are the upstreams that voters doubt.
	suspects []*target
	// reports are what voters must be told, mayReport how many packets without an
	// answer may be added.
	reports   []word.Event
	mayReport int
	// turn moves on with each choice, so that equal upstreams take turns.
	turn int
	// assignment is which cold upstreams are this balancer's.
	assignment *assignment.Assignment
	// balancers is how many balancers share the upstreams, 0 where that is not known.
	balancers int
	// evacuations are the orders in force for availability zones.
	evacuations evacuation.Evacuations
}

// route is a route with what each opening needs of it.
type route struct {
	configuration.Route
	backends []configuration.Backend
}

// turns bounds where a balancer's first turn may be.
const turns = 1 << 16

// New returns a router that drops everything until it is configured.
func New(s Settings) *Router {
	return &Router{
		settings: s, assignment: assignment.New(s.Started, s.Self), mayReport: reportsMost, turn: int(s.Seed % turns), routes: map[netip.AddrPort]route{}, targets: map[uint64]*target{},
		cookies: map[uint32]*target{}, pools: map[string]*pool{}, flows: map[Flow]*flow{},
		zones: map[string]*zone{}, services: map[string]*service{},
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
	r.routes = make(map[netip.AddrPort]route, len(c.Routes))
	for _, s := range c.Services {
		r.service(s.Name).coldRate = s.ColdRate()
	}
	for _, x := range c.Routes {
		r.routes[x.Address] = route{Route: x, backends: x.Backends()}
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
	if next := r.successor(t); next != nil {
		t = next
	}
	if t.Ended && p.Reset {
		return Verdict{Action: Drop, Reason: Ended, Incarnation: t.Incarnation, Revision: r.revision, Sequence: t.Sequence}
	}
	if t.Ended {
		return r.ended(p.Flow(), r.flows[p.Flow()], t, Ended)
	}
	if p.Length > 0 && t.unresponsive() && r.Class(p.Address).Repeatable() {
		return r.ended(p.Flow(), r.flows[p.Flow()], t, Unresponsive)
	}
	r.note(now, p.Flow(), t, p)
	return r.forward(t, Known)
}

// reset returns the verdict that ends a flow for what is known of its upstream.
func (r *Router) reset(t *target, why Reason) Verdict {
	return Verdict{Action: Reset, Reason: why, Incarnation: t.Incarnation, Revision: r.revision, Sequence: t.Sequence}
}

func (r *Router) forward(t *target, why Reason) Verdict {
	return Verdict{
		Action: Forward, Reason: why, To: t.Address, Incarnation: t.Incarnation, Cookie: t.cookie, Revision: r.revision,
		Sequence: t.Sequence, Live: t.Live,
	}
}

// tell passes a duration to a listener, if there is one.
func tell(listener func(time.Duration), d time.Duration) {
	if listener != nil {
		listener(d)
	}
}
