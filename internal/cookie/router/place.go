package router

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/cookie/mechanism"
)

// place decides where a new flow goes. A copy goes where the first packet went:
// a second upstream that answers later would draw the caller's packets to a
// flow that is not open there.
func (r *Router) place(now time.Time, p Packet) Verdict {
	v := r.placeOrReject(now, p)
	if v.Action == Reset && !p.Rejectable() {
		v.Action = Drop
	}
	return v
}

func (r *Router) placeOrReject(now time.Time, p Packet) Verdict {
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
func (r *Router) placeNew(now time.Time, k Flow, route route) Verdict {
	r.noteRefused(now)
	number := k.number()
	service := pick(route.backends, number)
	settled := now.Sub(r.drawn) >= settleFor || r.settings.Off.Has(mechanism.Settling)
	if v, refused := r.refuses(now, service, route.Route, number); refused && settled {
		return v
	}
	t := r.choose(now, service, route.Class)
	if t == nil && r.anyCold(now, service) {
		return r.refuseCold(now, service)
	}
	if t == nil && r.allEvacuated(service) {
		return Verdict{Action: Reset, Reason: Evacuated, Revision: r.revision}
	}
	if t == nil && !settled {
		return Verdict{Action: Drop, Reason: NoUpstream, Revision: r.revision}
	}
	if t == nil {
		return Verdict{Action: Reset, Reason: NoUpstream, Revision: r.revision}
	}
	if t.unresponsive() {
		// All others are, too: the caller would wait for its opening to be given up.
		return r.reset(t, Unresponsive)
	}
	t.opened(now)
	r.open(now, k, t)
	return r.forward(t, Placed)
}

// number spreads flows over the backends of a split route.
func (k Flow) number() uint64 {
	a, port := k.Caller.Addr().As4(), k.Caller.Port()
	b := [6]byte{a[0], a[1], a[2], a[3], byte(port >> 8), byte(port)}
	return xxhash.Sum64(b[:])
}

// missed notes an opening or a request that had to be repeated. What it says of the
// upstream here keeps new flows away also where no voter answers.
func (r *Router) missed(now time.Time, address netip.AddrPort, f *flow) {
	f.repeated = true
	r.unanswered(now, address, f)
	r.suspectHere(now, f)
}

// suspectHere keeps new flows from the upstream of a flow that got no answer.
func (r *Router) suspectHere(now time.Time, f *flow) {
	t := f.target
	if r.settings.Off.Has(mechanism.Suspicion) || !t.missed(now, f.sent) {
		return
	}
	if r.settings.Suspected != nil {
		r.settings.Suspected(t.Target)
	}
}
