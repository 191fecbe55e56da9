package router

import (
	"slices"
	"strings"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/placement/zoneshare"
	"wasabideal/internal/zoneload/snapshot"
)

// shareInterval is the least time between two updates of the shares of new flows by zone. Views
// arrive every 45 ms or less often.
const shareInterval = 50 * time.Millisecond

// updateShares updates the shares of new flows that go to other zones, for all services. It is
// called for new views and at ticks, so that the cost of an opening does not depend on the number of
// zones.
func (r *Router) updateShares(now time.Time) {
	if r.settings.Off.Has(mechanism.ZonePlacement) || r.settings.Off.Has(mechanism.OwnZone) || now.Sub(r.sharesUpdated) < shareInterval {
		return
	}
	own, known := r.zoneLoad.Zone(now, r.settings.Zone)
	r.sharesUpdated, r.sharesVersion, r.ownMeasured = now, r.zoneLoad.Version, own.Measured
	r.listRecentZones(now)
	for name, p := range r.pools {
		if !known || !own.Knows(name) {
			p.shares.Reset()
			continue
		}
		r.countUsable(now, p)
		if !p.shares.Empty() || r.zoneLoadOf(own, r.settings.Zone, name, p).MaySend() {
			p.shares.Update(now, r.settings.Zone, r.zoneLoads(name, p))
		}
	}
}

// namedLoad is the load of one zone's callers.
type namedLoad struct {
	name string
	load snapshot.Zone
}

// listRecentZones sets recentZones to the zones whose load is known and recent, sorted by name.
func (r *Router) listRecentZones(now time.Time) {
	r.recentZones = r.recentZones[:0]
	for name := range r.zoneLoad.Zones {
		if load, recent := r.zoneLoad.Zone(now, name); recent {
			r.recentZones = append(r.recentZones, namedLoad{name, load})
		}
	}
	slices.SortFunc(r.recentZones, func(a, b namedLoad) int { return strings.Compare(a.name, b.name) })
}

// zoneLoads returns the load and the usable slots of a service in recentZones. The slice is reused
// by the next call.
func (r *Router) zoneLoads(service string, p *pool) []zoneshare.Zone {
	r.zoneLoadsBuffer = r.zoneLoadsBuffer[:0]
	for i := range r.recentZones {
		z := &r.recentZones[i]
		if !z.load.Knows(service) {
			// A service that was left out of the report may have any load.
			continue
		}
		r.zoneLoadsBuffer = append(r.zoneLoadsBuffer, r.zoneLoadOf(z.load, z.name, service, p))
	}
	return r.zoneLoadsBuffer
}

// zoneLoadOf returns the load and the usable slots of a service in one zone.
func (r *Router) zoneLoadOf(load snapshot.Zone, name, service string, p *pool) zoneshare.Zone {
	occupied := load.Services[service].Occupied
	z := zoneshare.Zone{Name: name, Local: occupied[name]}
	for _, n := range occupied {
		z.Demand += n
	}
	if upstreams := p.zoneNamed(name); upstreams != nil {
		z.Slots, upstreams.measured = upstreams.usable, load.Measured
	}
	return z
}

// zoneNamed returns the upstreams of a zone, or nil if the zone never had any.
func (p *pool) zoneNamed(name string) *zoneUpstreams {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

// slotsIn returns the slots of the upstreams in a zone.
func (p *pool) slotsIn(zone string) int {
	if z := p.zoneNamed(zone); z != nil {
		return z.slots
	}
	return 0
}

// countUsable counts the usable slots of a service in each zone.
func (r *Router) countUsable(now time.Time, p *pool) {
	for _, z := range p.zones {
		z.usable = float64(z.slots)
		if z.zone.avoided(now) {
			z.usable = 0
		}
	}
	for i := len(p.reduced) - 1; i >= 0; i-- {
		t := p.reduced[i]
		usable, mayChange := r.usableSlots(now, t)
		if z := t.position.zone; z.usable > 0 {
			z.usable = max(0, z.usable-float64(t.position.slots)+usable)
		}
		if !mayChange {
			t.removeFromReduced()
		}
	}
}

// avoided reports whether new flows avoid all upstreams of a zone, as rank does.
func (z *zone) avoided(now time.Time) bool {
	return now.Before(z.refusals.avoidUntil) || z.voterSuspicion.active(z.lastAlive)
}

// usableSlots returns the slots of an upstream that count for placement by zone: none if the
// upstream is not healthy or its cold rate applies. Each such upstream is assigned to one balancer;
// the others of the zone, which must compute the same shares, cannot use it. It also reports whether
// the result may change without a call of noteReduced.
func (r *Router) usableSlots(now time.Time, t *target) (slots float64, mayChange bool) {
	if r.rank(now, t) != rankHealthy || r.coldRateApplies(now, t) {
		return 0, true
	}
	return r.slots(now, t), now.Before(t.ColdUntil)
}

// shareClass returns the class of a route's flows for placement by zone.
func shareClass(c configuration.Class) zoneshare.Class {
	if c == configuration.Upload || c == configuration.Download {
		return zoneshare.Bulk
	}
	return zoneshare.Short
}

// chooseOtherZone returns a healthy upstream of the zone to which the shares send a new flow, or nil
// if the flow stays, the load of either zone is no longer recent, or no such upstream is found.
func (r *Router) chooseOtherZone(now time.Time, p *pool, class configuration.Class, hash uint64) *target {
	name, leaves := p.shares.Choose(shareClass(class), hash)
	if !leaves {
		return nil
	}
	z := p.zoneNamed(name)
	if z == nil || r.loadAge(now, z) > snapshot.MaxAge {
		return nil
	}
	if best := r.cheapest(now, z.upstreams, scanCount(z.upstreams), 0); best.healthy() {
		return best.target
	}
	return nil
}

// loadAge returns the age of the load that the shares for another zone are based on: that of the own
// zone or of the other one, whichever is older.
func (r *Router) loadAge(now time.Time, other *zoneUpstreams) time.Duration {
	return max(now.Sub(r.ownMeasured), now.Sub(other.measured))
}

// explainSpill adds to the verdict on a flow that leaves its zone which view of the load decided.
func (r *Router) explainSpill(now time.Time, v *Verdict, t *target) {
	v.Zone, v.LoadVersion, v.LoadAge = t.Zone, r.sharesVersion, r.loadAge(now, t.position.zone)
}
