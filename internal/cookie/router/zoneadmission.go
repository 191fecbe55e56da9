package router

import (
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/metric/minimum"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/overload/zoneadmission"
	"wasabideal/internal/zoneload/snapshot"
)

// urgentObjectiveWindow is how long an urgent flow's objective bounds the limit of ordinary flows:
// the time constant by which demand counts as urgent.
const urgentObjectiveWindow = 2 * time.Second

// zoneUse is the load of a service by callers of all zones. It is computed once for each view, since
// that takes time quadratic in the number of zones.
type zoneUse struct {
	// updates and changes are those of the router's view and of the pool that it was computed from.
	updates, changes uint64
	// until is when the first zone's entry becomes too old.
	until time.Time
	// known is whether the view has a fresh entry of this balancer's zone, and upstreams may be
	// used in zones with a fresh entry.
	known bool
	// measured is when the entry of this balancer's zone was measured.
	measured time.Time
	// load is the load of the service when the view was measured.
	load zoneadmission.Load
	// work is how long a request occupies a slot, 0 if unknown.
	work    time.Duration
	history zoneadmission.History
	// urgentObjectives holds the objectives of recent urgent flows, nil before the first.
	urgentObjectives *minimum.Window
}

// recordInFlight records the service's requests in flight, which later views are compared with.
func (r *Router) recordInFlight(now time.Time, s *service) {
	if r.zoneLoadUpdates > 0 {
		s.zoneUse.history.Record(now, s.effectiveInFlight())
	}
}

// updateZoneUse updates the service's zoneUse and reports whether it is known.
func (r *Router) updateZoneUse(now time.Time, name string, s *service) bool {
	p := r.pools[name]
	if r.zoneLoadUpdates == 0 || p == nil || r.settings.Off.Has(mechanism.ZoneAdmission) {
		return false
	}
	r.recordInFlight(now, s)
	u := &s.zoneUse
	if u.updates != r.zoneLoadUpdates || u.changes != p.changes || u.known && now.After(u.until) {
		u.updates, u.changes = r.zoneLoadUpdates, p.changes
		r.computeZoneUse(now, name, s, p)
	}
	return u.known
}

// computeZoneUse computes the service's zoneUse from the view and the pool. Slots in zones without a
// fresh entry, and in evacuated zones, count neither as slots nor as occupied: only open flows use
// them.
func (r *Router) computeZoneUse(now time.Time, service string, s *service, p *pool) {
	u := &s.zoneUse
	u.known, u.measured, u.load = false, r.zoneLoad.Zones[r.settings.Zone].Measured, zoneadmission.Load{}
	if now.Sub(u.measured) > snapshot.MaxAge {
		return
	}
	oldest := u.measured
	for name := range r.zoneLoad.Zones {
		// Only the fields that are needed are copied.
		measured := r.zoneLoad.Zones[name].Measured
		if now.Sub(measured) > snapshot.MaxAge {
			continue
		}
		if measured.Before(oldest) {
			oldest = measured
		}
		u.load.Slots += float64(p.zoneSlots[name])
		for upstreams, occupied := range r.zoneLoad.Zones[name].Services[service].Occupied {
			if p.zoneSlots[upstreams] > 0 && now.Sub(r.zoneLoad.Zones[upstreams].Measured) <= snapshot.MaxAge {
				u.load.Occupied += occupied
			}
		}
	}
	u.until = oldest.Add(snapshot.MaxAge)
	u.known = u.load.Slots > 0
	u.load.InFlightThen = float64(s.effectiveInFlight())
	if then, known := u.history.Mean(u.measured); known {
		u.load.InFlightThen = then
	}
	u.work = r.work(now, s)
}

// work returns how long a request of the service occupies a slot, 0 if unknown.
func (r *Router) work(now time.Time, s *service) time.Duration {
	handshake, known := r.recentHandshakes.Shortest(now)
	if !known {
		handshake, _ = r.handshakes.Shortest(now)
	}
	return max(s.medianResponseTime-handshake, 0)
}

// checkZoneUse reports whether a new flow is rejected by the load of all zones, and returns the
// verdict if so. It also reports whether the service is so little used that no rule rejects flows.
// Uploads are only rejected by their response time, since they occupy a slot for a small part of it.
func (r *Router) checkZoneUse(now time.Time, s *service, route configuration.Route, k Flow, urgent bool) (v Verdict, rejected, idle bool) {
	u := &s.zoneUse
	if urgent && route.Objective > 0 {
		if u.urgentObjectives == nil {
			u.urgentObjectives = minimum.New(urgentObjectiveWindow)
		}
		u.urgentObjectives.Record(now, route.Objective)
	}
	load := u.load
	load.InFlight = float64(s.effectiveInFlight())
	f := zoneadmission.Flow{Objective: route.Objective, Work: u.work, Urgent: urgent, Caller: k.addressHash()}
	if !urgent && u.urgentObjectives != nil {
		f.UrgentObjective, _ = u.urgentObjectives.Shortest(now)
	}
	d := zoneadmission.Decide(now, load, f)
	if d.Admitted || route.Class == configuration.Upload {
		return Verdict{}, false, d.Use < zoneadmission.Idle
	}
	return Verdict{
		Action: Reset, Reason: Overloaded, Revision: r.revision, UnderWay: s.effectiveInFlight(), Use: d.Use, SlotLimit: d.Limit,
		LoadVersion: r.zoneLoad.Version, LoadAge: now.Sub(u.measured),
	}, true, false
}
