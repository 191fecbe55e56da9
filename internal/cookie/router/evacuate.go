package router

import (
	"time"

	"wasabideal/internal/model/evacuation"
)

// Evacuate applies evacuation orders for availability zones; older revisions are ignored.
// Open flows stay, and a retransmitted opening keeps its upstream, for the reason given at
// decideOpening. The caller sends the last retransmission 0.6 s after the opening, so evacuated
// upstreams receive openings for at most this time after the order.
func (r *Router) Evacuate(now time.Time, e evacuation.Evacuations) {
	if e.Revision <= r.evacuations.Revision {
		return
	}
	for _, z := range e.Zones {
		r.recordRevocation(now, z)
	}
	r.evacuations = e
	for _, t := range r.targets {
		r.updatePool(t)
	}
}

// recordRevocation records when the evacuation of a zone was revoked. A balancer that has just
// started has not seen the zone evacuated and relies on the time of the order.
func (r *Router) recordRevocation(now time.Time, z evacuation.Zone) {
	switch {
	case z.Evacuated:
	case r.evacuations.Evacuated(z.Name):
		r.zone(z.Name).evacuationRevoked = now
	case r.evacuations.Revision == 0 && now.Sub(z.When).Abs() < coldAfterEvacuation:
		r.zone(z.Name).evacuationRevoked = now
	}
}

// EvacuationRevision returns the revision of the evacuation orders in force.
func (r *Router) EvacuationRevision() uint64 { return r.evacuations.Revision }

// hasEvacuated reports whether a service has ready upstreams in evacuated zones. If the service has
// only such upstreams, new flows are reset at once: placing them would violate the operator's
// order, and waiting would not add an upstream.
func (r *Router) hasEvacuated(service string) bool {
	return len(r.pool(service).lists[evacuated]) > 0
}
