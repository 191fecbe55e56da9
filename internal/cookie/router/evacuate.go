package router

import (
	"time"

	"wasabideal/internal/model/evacuation"
)

// Evacuate applies evacuation orders for availability zones; older revisions are ignored.
// Open flows stay, and so do copies of an opening already placed: the caller sends the last
// one 0.6 s after the first, and a second upstream would attract the caller's packets to a
// flow that is not open there.
func (r *Router) Evacuate(now time.Time, e evacuation.Evacuations) {
	if e.Revision <= r.evacuations.Revision {
		return
	}
	for _, z := range e.Zones {
		r.restore(now, z)
	}
	r.evacuations = e
	for _, t := range r.targets {
		r.updatePool(t)
	}
}

// restore records that the evacuation of a zone was revoked. A balancer that has just
// started has not seen the change and uses the time of the order.
func (r *Router) restore(now time.Time, z evacuation.Zone) {
	switch {
	case z.Evacuated:
	case r.evacuations.Evacuated(z.Name):
		r.zone(z.Name).restored = now
	case r.evacuations.Revision == 0 && now.Sub(z.When).Abs() < restoredColdFor:
		r.zone(z.Name).restored = now
	}
}

// EvacuationRevision returns the revision of the evacuation orders in force.
func (r *Router) EvacuationRevision() uint64 { return r.evacuations.Revision }

// allEvacuated reports whether a service has ready upstreams in evacuated zones, which
// choose never returns. Its new flows are rejected at once if there are no others: placing
// them would break the operator's order, and waiting would not add an upstream.
func (r *Router) allEvacuated(service string) bool {
	return len(r.pool(service).lists[evacuated]) > 0
}
