package router

import (
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/metric/minimum"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/overload/zoneadmission"
	"wasabideal/internal/zoneload/report"
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
	// known is whether the view has an entry of this balancer's zone that counts, and upstreams may be
	// used in zones with such an entry.
	known bool
	// measured is when the entry of this balancer's zone was measured.
	measured time.Time
	// load is the load of the service when the view was measured.
	load zoneadmission.Load
	// work is how long a request occupies a slot, 0 if unknown.
	work    time.Duration
	history zoneadmission.History
	// latest holds the latest flow of each tier that was decided by the load of all zones, and decided
	// whether there was one. rejected counts the flows rejected by it since TakeRejected.
	latest   [report.Tiers]zoneadmission.Flow
	decided  [report.Tiers]bool
	rejected [report.Tiers]int
	// urgentObjectives holds the objectives of recent urgent flows, nil before the first.
	urgentObjectives *minimum.Window
}

// recordInFlight records the service's requests in flight without uploads, which later views are compared
// with.
func (r *Router) recordInFlight(now time.Time, s *service) {
	if r.zoneLoadUpdates > 0 {
		s.zoneUse.history.Record(now, s.load.inFlight)
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
// fresh entry of at least half of the balancers, and in evacuated zones, count neither as slots nor as
// occupied: only open flows use them. If a fresh entry leaves the service out, its use is unknown.
func (r *Router) computeZoneUse(now time.Time, service string, s *service, p *pool) {
	u := &s.zoneUse
	u.known, u.measured, u.load = false, r.zoneLoad.Zones[r.settings.Zone].Measured, zoneadmission.Load{}
	if !countsForUse(now, r.zoneLoad.Zones[r.settings.Zone]) {
		return
	}
	oldest := u.measured
	for name, z := range r.zoneLoad.Zones {
		if !countsForUse(now, z) {
			continue
		}
		if !z.Knows(service) {
			return
		}
		if z.Measured.Before(oldest) {
			oldest = z.Measured
		}
		u.load.Slots += float64(p.slotsIn(name))
		for upstreams, occupied := range z.Services[service].Occupied {
			if p.slotsIn(upstreams) > 0 && (upstreams == name || countsForUse(now, r.zoneLoad.Zones[upstreams])) {
				u.load.Occupied += occupied
				if name != r.settings.Zone {
					u.load.Elsewhere += occupied
				}
			}
		}
	}
	u.until = oldest.Add(snapshot.MaxAge)
	u.known = u.load.Slots > 0
	u.load.InFlightThen = float64(s.load.inFlight)
	if then, known := u.history.Mean(u.measured); known {
		u.load.InFlightThen = then
	}
	u.work = r.work(s)
}

// countsForUse reports whether a zone's entry is fresh and representative.
func countsForUse(now time.Time, z snapshot.Zone) bool {
	return now.Sub(z.Measured) <= snapshot.MaxAge && z.Representative()
}

// work returns how long a request of the service occupies a slot, 0 if unknown.
func (r *Router) work(s *service) time.Duration {
	return max(s.medianResponseTime-r.meanHandshake, 0)
}

// presentLoad returns the load of all zones with this balancer's present requests in flight.
func (s *service) presentLoad() zoneadmission.Load {
	load := s.zoneUse.load
	load.InFlight = float64(s.load.inFlight)
	return load
}

// decideByUse decides on a new flow by the load of all zones, which must be known. The hash is that of
// the flow's caller.
func (s *service) decideByUse(now time.Time, class configuration.Class, objective time.Duration, hash uint64, urgent bool) zoneadmission.Decision {
	u := &s.zoneUse
	load := s.presentLoad()
	f := zoneadmission.Flow{Objective: objective, Work: u.work, Urgent: urgent, Number: hash}
	switch {
	case urgent && objective > 0:
		if u.urgentObjectives == nil {
			u.urgentObjectives = minimum.New(urgentObjectiveWindow)
		}
		u.urgentObjectives.Record(now, objective)
	case !urgent && u.urgentObjectives != nil:
		f.UrgentObjective, _ = u.urgentObjectives.Shortest(now)
	}
	if class != configuration.Upload {
		u.latest[s.load.tier], u.decided[s.load.tier] = f, true
	}
	return zoneadmission.Decide(load, f)
}

// useVerdict returns the verdict on a flow that is rejected by the load of all zones.
func (r *Router) useVerdict(now time.Time, s *service, d zoneadmission.Decision) Verdict {
	return Verdict{
		Action: Reset, Reason: Overloaded, Revision: r.revision, UnderWay: s.effectiveInFlight(), Use: d.Use, SlotLimit: d.Limit,
		LoadVersion: r.zoneLoad.Version, LoadAge: now.Sub(s.zoneUse.measured),
	}
}
