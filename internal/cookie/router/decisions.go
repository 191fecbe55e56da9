package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/overload/zoneadmission"
	"wasabideal/internal/placement/zoneshare"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
	"wasabideal/internal/zoneload/status"
)

// ServiceState is the state of the decisions on one service's new flows that use the load of all
// zones.
type ServiceState struct {
	status.Decision
	// Level is the use of all usable slots by the zones whose load is known. OwnUse is that of this
	// balancer's zone. Both are 0 if unknown.
	Level, OwnUse float64
	// Rejected counts the flows that the load of all zones rejected since the last call of
	// TakeRejected, by tier.
	Rejected [report.Tiers]int
}

// Decisions returns the state of the decisions by the load of all zones, sorted by service. It returns
// nothing before the first view.
func (r *Router) Decisions(now time.Time) []ServiceState {
	if r.zoneLoadUpdates == 0 {
		return nil
	}
	out := make([]ServiceState, 0, len(r.pools))
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		p, s := r.pools[name], r.services[name]
		// With placement by zone disabled, nothing else counts the usable slots.
		r.countUsable(now, p)
		x := ServiceState{Decision: status.Decision{Service: name, Usable: p.usableByZone(), Shares: p.sharesByZone()}}
		if s != nil {
			r.describeUse(now, name, s, &x)
		}
		r.describeLevel(now, name, &x)
		out = append(out, x)
	}
	return out
}

// TakeRejected resets the counts of Rejected of a service.
func (r *Router) TakeRejected(service string) {
	if s := r.services[service]; s != nil {
		s.zoneUse.rejected = [report.Tiers]int{}
	}
}

func (p *pool) usableByZone() map[string]float64 {
	usable := make(map[string]float64, len(p.zones))
	for _, z := range p.zones {
		if len(z.upstreams) > 0 {
			usable[z.name] = z.usable
		}
	}
	return usable
}

// sharesByZone returns the shares above 0, sorted by zone.
func (p *pool) sharesByZone() []status.Share {
	var shares []status.Share
	if p.shares.Empty() {
		return nil
	}
	for _, z := range p.zones {
		x := status.Share{Zone: z.name, Short: p.shares.Share(zoneshare.Short, z.name), Bulk: p.shares.Share(zoneshare.Bulk, z.name)}
		if x.Short > 0 || x.Bulk > 0 {
			shares = append(shares, x)
		}
	}
	slices.SortFunc(shares, func(a, b status.Share) int { return strings.Compare(a.Zone, b.Zone) })
	return shares
}

// describeUse sets the use of a service and the present decision on flows like the latest of each tier.
func (r *Router) describeUse(now time.Time, name string, s *service, x *ServiceState) {
	x.Rejected = s.zoneUse.rejected
	if r.settings.Off.Has(mechanism.ZoneAdmission) || !r.updateZoneUse(now, name, s) {
		return
	}
	load := s.presentLoad()
	x.UseKnown, x.Use = true, load.Use()
	admission := func(tier int) status.Admission {
		if !s.zoneUse.decided[tier] {
			return status.Admission{}
		}
		d := zoneadmission.Decide(load, s.zoneUse.latest[tier])
		return status.Admission{Limit: d.Limit, RejectedShare: d.RejectedShare}
	}
	x.Urgent, x.Ordinary = admission(report.Urgent), admission(report.Ordinary)
}

// describeLevel sets the use of the usable slots, which placement by zone compares.
func (r *Router) describeLevel(now time.Time, name string, x *ServiceState) {
	demand, slots := 0.0, 0.0
	for zone, z := range r.zoneLoad.Zones {
		if now.Sub(z.Measured) > snapshot.MaxAge || !z.Knows(name) {
			continue
		}
		demand += z.Demand(name)
		slots += x.Usable[zone]
		if zone == r.settings.Zone && x.Usable[zone] > 0 {
			x.OwnUse = z.Demand(name) / x.Usable[zone]
		}
	}
	if slots > 0 {
		x.Level = demand / slots
	}
}
