package router

import (
	"cmp"
	"net/netip"
	"time"

	"wasabideal/internal/cookie/allocation"
	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/fanout/assignment"
	"wasabideal/internal/metric/minimum"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/placement/zoneshare"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/zoneload/snapshot"
)

// Settings configures the router of one balancer.
type Settings struct {
	// Zone is the availability zone of this balancer.
	Zone string
	// Self is this balancer's address in the list given to SetPeers. If empty, no flow goes
	// to cold upstreams whose service sets a cold rate.
	Self string
	// Started is when the balancer started.
	Started time.Time
	// Seed differs between balancers, so that balancers that start together do not send
	// their first flows to the same upstreams.
	Seed uint64
	// Off is the set of disabled mechanisms.
	Off mechanism.Off
	// Suspected, if set, is called when this balancer begins to suspect an upstream that left
	// a packet unanswered.
	Suspected func(view.Target)
	// ZoneRefused, if set, is called when this balancer begins to suspect a whole zone because
	// most openings there are abandoned.
	ZoneRefused func(zone string)
	// Reset, if set, is called for each reset of a flow that may be open.
	Reset func(FlowReset)
	// CookieShared, if set, is called for each shared cookie whose upstreams or claims have changed.
	CookieShared func(SharedCookie)
	// Opened, if set, is called with the duration of each handshake as seen by this balancer.
	// Answered, if set, is called with the response time of each request.
	Opened, Answered func(time.Duration)
	// MeasureAnswers counts short answers of upstreams. ShortAnswer, if set, is called for each.
	MeasureAnswers bool
	ShortAnswer    func()
}

// Router decides on each packet; one goroutine owns it.
type Router struct {
	settings Settings
	revision uint64
	routes   map[netip.AddrPort]route
	// targets holds the upstreams by incarnation. cookies holds them by cookie, and also holds
	// former instances.
	targets map[uint64]*target
	cookies *allocation.Allocation[*target]
	// pools holds the ready upstreams of each service.
	pools map[string]*pool
	flows map[Flow]*flow
	// finished holds the finished flows of upstreams whose cookies alone do not identify them.
	finished map[Flow]finishedFlow
	// freeFlows is the free list of flow entries.
	freeFlows []*flow
	zones     map[string]*zone
	services  map[string]*service
	lastSweep time.Time
	// recent reports whether the source of the next update has known an upstream for a short time only;
	// nil stands for no upstream.
	recent func(incarnation uint64) bool
	// added records when upstreams became known that were not established at once.
	added *recent.Tracker
	// settling is how long an upstream that becomes known is not established.
	settling time.Duration
	// targetsKnownAt is when the router first received upstreams.
	targetsKnownAt time.Time
	losses         losses
	// abandoned are the openings found abandoned by the last check; the slice is reused.
	abandoned []pendingAnswer
	// suspects are the upstreams that the voters suspect; upstreams of a suspected zone are
	// not included.
	suspects []*target
	// reports are the queued events for the voters; reportBudget is the number of unanswered
	// packets that may still be reported.
	reports      []evidence.Event
	reportBudget int
	// rotation advances with each choice, so that equal upstreams are chosen in turn.
	rotation int
	// reduced are the upstreams at reduced weight, and answersReported is when counts of answers were
	// last returned.
	reduced         []*target
	answersReported time.Time
	// assignment determines which cold upstreams are assigned to this balancer.
	assignment *assignment.Assignment
	// balancers is how many balancers share the upstreams, 0 if unknown.
	balancers int
	// evacuations are the evacuation orders in force.
	evacuations evacuation.Evacuations
	// zoneLoad is the latest view of the load of all zones; its zero value knows none.
	zoneLoad snapshot.Snapshot
	// zoneLoadUpdates counts the views that were set.
	zoneLoadUpdates uint64
	// sharesUpdated is when the shares of new flows by zone were last updated, sharesVersion the
	// version of the view that they are based on, and ownMeasured when the load of the own zone in
	// this view was measured. recentZones and zoneLoadsBuffer are reused by updateShares.
	sharesUpdated, ownMeasured time.Time
	sharesVersion              uint64
	recentZones                []namedLoad
	zoneLoadsBuffer            []zoneshare.Zone
	// recentHandshakes and handshakes hold the durations of handshakes without a retransmission.
	// The shortest recent one exceeds the shortest of all by the queueing delay of the VM's link.
	recentHandshakes, handshakes *minimum.Window
	// meanHandshake is the moving average of these durations, 0 before the first. It is how long a
	// request is in transit, the queueing delay of the VM's link included.
	meanHandshake time.Duration
	// latestCompleted is when the latest of the flows whose handshake has completed was placed.
	latestCompleted time.Time
	// linkDelayed is set while missing answers say nothing about upstreams.
	linkDelayed bool
}

const (
	// recentHandshakeWindow holds a few handshakes at 20 new flows a second or more.
	recentHandshakeWindow = 100 * time.Millisecond
	// handshakeWindow is longer than a link stays full without a break.
	handshakeWindow = 10 * time.Second
	// handshakesAveraged is the number of handshakes over which meanHandshake is averaged: less than
	// 100 ms of new flows at a balancer whose link is nearly full.
	handshakesAveraged = 16
)

// route is a configured route with its precomputed backends.
type route struct {
	configuration.Route
	backends []configuration.Backend
}

// initialRotations bounds a balancer's first value of rotation.
const initialRotations = 1 << 16

// New returns a router that drops all openings until it is configured.
func New(s Settings) *Router {
	return &Router{
		settings: s, assignment: assignment.New(s.Started, s.Self), reportBudget: reportBurst, rotation: int(s.Seed % initialRotations), routes: map[netip.AddrPort]route{}, targets: map[uint64]*target{},
		cookies: allocation.New[*target](cookieOf), finished: map[Flow]finishedFlow{}, added: recent.NewTracker(allocation.MaxSettling), settling: allocation.SettlingPerLevel, pools: map[string]*pool{}, flows: map[Flow]*flow{},
		zones: map[string]*zone{}, services: map[string]*service{},
		recentHandshakes: minimum.New(recentHandshakeWindow), handshakes: minimum.New(handshakeWindow),
	}
}

// RevertError reports a configuration that is older than the one in force.
type RevertError struct{ Held, Offered uint64 }

func (e *RevertError) Error() string { return "configuration is older than the one in force" }

// Configure applies a configuration; an older revision is rejected.
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

// Class returns the request class of the route with the address, the zero value if there is
// none.
func (r *Router) Class(address netip.AddrPort) configuration.Class { return r.routes[address].Class }

// Revision returns the revision in force, 0 before the first configuration.
func (r *Router) Revision() uint64 { return r.revision }

// settlePeriod begins when the first upstreams become known, and lasts one and a half
// announcement intervals, since others may not be known yet. During it, flows are neither
// reset for a missing upstream nor rejected for overload. After an outage all callers return
// at once, and the upstreams serve them within a second: of 766 requests in the first two
// seconds, 136 failed with rejections and 46 without.
const settlePeriod = 1800 * time.Millisecond

// Route decides on one packet from a caller.
func (r *Router) Route(now time.Time, p Packet) Verdict {
	if p.Opening {
		return r.routeOpening(now, p)
	}
	if p.Cookie == 0 {
		return Verdict{Action: Drop, Reason: Stray}
	}
	t, reason := r.upstreamOf(now, p)
	if t == nil {
		return Verdict{Action: Drop, Reason: reason}
	}
	if next := r.successor(t); next != nil {
		t = next
	}
	if t.Ended && p.Reset {
		return Verdict{Action: Drop, Reason: Ended, Incarnation: t.Incarnation, Revision: r.revision, Sequence: t.Sequence}
	}
	if t.Ended {
		return r.resetFlow(p.Flow(), r.flows[p.Flow()], t, Ended)
	}
	if p.Length > 0 && t.unresponsive() && r.Class(p.Address).Repeatable() {
		return r.resetFlow(p.Flow(), r.flows[p.Flow()], t, Unresponsive)
	}
	v := r.forwardVerdict(t, cmp.Or(t.cookies.Active(), p.Cookie), Known)
	v.OpenedHere, v.Retransmitted = r.noteEstablished(now, p.Flow(), t, p)
	return v
}

// resetVerdict returns a verdict that resets a flow because of its upstream's state.
func (r *Router) resetVerdict(t *target, reason Reason) Verdict {
	return Verdict{Action: Reset, Reason: reason, Incarnation: t.Incarnation, Revision: r.revision, Sequence: t.Sequence}
}

func (r *Router) forwardVerdict(t *target, cookie uint32, reason Reason) Verdict {
	return Verdict{
		Action: Forward, Reason: reason, To: t.Address, Incarnation: t.Incarnation, Cookie: cookie, Revision: r.revision,
		Sequence: t.Sequence, Live: t.Live,
	}
}

// notify calls a hook with a duration, if it is set.
func notify(hook func(time.Duration), d time.Duration) {
	if hook != nil {
		hook(d)
	}
}
