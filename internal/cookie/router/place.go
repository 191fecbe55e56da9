package router

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/cookie/mechanism"
)

// routeOpening decides on an opening by decideOpening. It drops instead of resets an opening that
// may already have opened the flow (see Rejectable).
func (r *Router) routeOpening(now time.Time, p Packet) Verdict {
	v := r.decideOpening(now, p)
	if v.Action == Reset && !p.Rejectable() {
		v.Action = Drop
	}
	return v
}

// decideOpening decides on an opening without regard to Rejectable. A retransmitted opening goes to
// the same upstream as before. Otherwise a second upstream would answer with another cookie, and
// packets with that cookie would reach an upstream without the connection.
func (r *Router) decideOpening(now time.Time, p Packet) Verdict {
	if r.revision == 0 {
		return Verdict{Action: Drop, Reason: Unconfigured}
	}
	configured, ok := r.routes[p.Address]
	if !ok {
		return Verdict{Action: Reset, Reason: NoRoute, Revision: r.revision}
	}
	k := p.Flow()
	if f := r.flows[k]; f != nil {
		if f.opening {
			r.noteRetransmission(now, p.Address, f)
		}
		if !f.target.Ended {
			return r.forwardVerdict(f.target, f.cookie, Repeated)
		}
		r.removeFlow(k, f)
	}
	return r.decideNewFlow(now, k, configured)
}

// decideNewFlow decides on an opening of a flow that is not stored.
func (r *Router) decideNewFlow(now time.Time, k Flow, configured route) Verdict {
	r.detectAbandoned(now)
	hash := k.callerHash()
	service := pickBackend(configured.backends, hash)
	settled := r.Settled(now)
	if v, rejected := r.checkAdmission(now, service, configured.Route, hash); rejected && settled {
		s := r.service(service)
		s.load.noteRejected()
		if v.SlotLimit > 0 {
			s.zoneUse.rejected[s.load.tier]++
		}
		return v
	}
	t, spilled := r.choose(now, service, configured.Class, hash)
	if t == nil && r.anyLimited(now, service) {
		return r.rejectLimited(now, service)
	}
	if t == nil && r.hasEvacuated(service) {
		return Verdict{Action: Reset, Reason: Evacuated, Revision: r.revision}
	}
	if t == nil && !settled {
		return Verdict{Action: Drop, Reason: NoUpstream, Revision: r.revision}
	}
	if t == nil {
		return Verdict{Action: Reset, Reason: NoUpstream, Revision: r.revision}
	}
	if t.unresponsive() {
		// No healthy upstream is available: without a reset the caller would wait for its
		// timeout.
		return r.resetVerdict(t, Unresponsive)
	}
	t.takeColdToken(now)
	t.service.load.noteAdmitted()
	r.openFlow(now, k, t, configured.Class)
	v := r.forwardVerdict(t, t.cookies.Active(), Placed)
	if spilled {
		r.explainSpill(now, &v, t)
	}
	return v
}

// callerHash returns a hash of the caller's address and port. It selects the backend of a split route,
// and the flows that leave their zone or that admission control rejects: admission by response times uses bits 32 to 47,
// admission by use bits 48 to 63, so that neither choice depends on the other.
func (k Flow) callerHash() uint64 {
	a, port := k.Caller.Addr().As4(), k.Caller.Port()
	b := [6]byte{a[0], a[1], a[2], a[3], byte(port >> 8), byte(port)}
	return xxhash.Sum64(b[:])
}

// noteRetransmission records a retransmitted opening or request. The local suspicion keeps
// new flows off the upstream even if no voter is reachable. While the link is delayed, the packet was
// probably retransmitted because it was queued there.
func (r *Router) noteRetransmission(now time.Time, address netip.AddrPort, f *flow) {
	f.retransmitted = true
	if r.linkDelayed {
		return
	}
	r.reportUnanswered(now, address, f)
	r.suspectLocally(now, f)
}

// suspectLocally suspects the upstream of a flow that got no answer, so that new flows
// avoid this upstream.
func (r *Router) suspectLocally(now time.Time, f *flow) {
	t := f.target
	if r.settings.Off.Has(mechanism.Suspicion) || !t.noteUnanswered(now, f.sent) {
		return
	}
	t.noteReduced()
	if r.settings.Suspected != nil {
		r.settings.Suspected(t.Target)
	}
}
