package router_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/zoneload/snapshot"
)

// loads returns a view of the slots that the callers of zones occupy at the service orders, all in
// their own zone.
func loads(measured time.Time, occupied map[string]float64) snapshot.Snapshot {
	s := snapshot.Snapshot{Version: 7, Zones: map[string]snapshot.Zone{}}
	for zone, n := range occupied {
		s.Zones[zone] = snapshot.Zone{
			Measured: measured, Balancers: 1,
			Services: map[string]snapshot.Service{"orders": {Occupied: map[string]float64{zone: n}}},
		}
	}
	return s
}

const (
	zoneUpstreams = 10
	// zoneSlots is the number of slots of each zone.
	zoneSlots = zoneUpstreams * 2
	// viewInterval is the time between two views.
	viewInterval = 50 * time.Millisecond
)

// zoneTargets returns the upstreams of zones a, b and c: 1 to 10, 11 to 20 and 21 to 30.
func zoneTargets() []view.Target {
	var out []view.Target
	for i := range uint64(3 * zoneUpstreams) {
		out = append(out, target(i+1, "orders", zoneOf(i+1)))
	}
	return out
}

func zoneOf(incarnation uint64) string { return string(rune('a' + (incarnation-1)/zoneUpstreams)) }

// placement plays the flows of one balancer in zone a. Each flow ends at once.
type placement struct {
	*router.Router
	now  time.Time
	next int
	// occupied is the load in the views; nil if none arrive. viewAge is their age.
	occupied map[string]float64
	viewAge  time.Duration
	// cut is the zone that does not answer.
	cut string
}

func newPlacement(r *router.Router, occupied map[string]float64) *placement {
	return &placement{Router: r, now: epoch, occupied: occupied}
}

// flows opens 1,000 flows a second, and returns the verdicts.
func (p *placement) flows(during time.Duration) []router.Verdict {
	var out []router.Verdict
	for i := range int(during / time.Millisecond) {
		p.now = p.now.Add(time.Millisecond)
		if p.occupied != nil && i%int(viewInterval/time.Millisecond) == 0 {
			p.SetLoad(p.now, loads(p.now.Add(-p.viewAge), p.occupied))
		}
		if i%100 == 0 {
			p.Tick(p.now)
		}
		p.next++
		v := p.Route(p.now, opening(p.next))
		if v.Action == router.Forward && zoneOf(v.Incarnation) != p.cut {
			p.Route(p.now, router.Packet{Caller: caller(p.next), Address: orders, Cookie: v.Cookie, Finish: true})
		}
		out = append(out, v)
	}
	return out
}

// openings opens 200 flows at the present time, without a new view or a tick.
func (p *placement) openings() []router.Verdict {
	var out []router.Verdict
	for range 200 {
		p.next++
		out = append(out, p.Route(p.now, opening(p.next)))
	}
	return out
}

// byZone returns the shares of flows that were forwarded to each zone.
func byZone(all []router.Verdict) map[string]float64 {
	out := map[string]float64{}
	for _, v := range all {
		if v.Action == router.Forward {
			out[zoneOf(v.Incarnation)]++
		}
	}
	for zone := range out {
		out[zone] /= float64(len(all))
	}
	return out
}

// overload is one and a half times the slots in zone a; two fifths of all slots are free.
func overload() map[string]float64 {
	return map[string]float64{"a": 1.5 * zoneSlots, "b": 0.1 * zoneSlots, "c": 0.3 * zoneSlots}
}

// The callers of zone a overload its upstreams, although this balancer has few requests in flight.
// Its own count keeps all flows in the zone.
func TestFlowsLeaveAnOverloadedZone(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), nil)
	require.Equal(t, 1.0, byZone(p.flows(time.Second))["a"], "without a view")
	p.occupied, p.viewAge = overload(), 200*time.Millisecond
	p.flows(4 * time.Second)
	all := p.flows(2 * time.Second)
	// The excess is 0.8 of 1.5, and a half of 0.8/0.7 more leaves for requests on open flows.
	shares := byZone(all)
	require.InDelta(t, 1, shares["b"]+shares["c"], 0.05)
	require.InDelta(t, 0.5/0.3, shares["b"]/shares["c"], 0.25, "by free capacity")
	for _, v := range all {
		if zone := zoneOf(v.Incarnation); zone != "a" {
			require.Equal(t, zone, v.Zone)
			require.Equal(t, uint64(7), v.LoadVersion)
			require.GreaterOrEqual(t, v.LoadAge, p.viewAge)
			require.Less(t, v.LoadAge, p.viewAge+2*viewInterval)
		} else {
			require.Empty(t, v.Zone)
		}
	}
	p.occupied["a"] = 0.5 * zoneSlots
	p.flows(1500 * time.Millisecond)
	require.Equal(t, 1.0, byZone(p.flows(time.Second))["a"], "after the load has ended")
}

// The packets of balancers without the view, or with the mechanism disabled, used to go elsewhere
// than before the mechanism existed.
func TestPlacementIsUnchangedWithoutRecentLoad(t *testing.T) {
	for _, c := range []struct {
		name     string
		off      mechanism.Off
		occupied map[string]float64
		viewAge  time.Duration
		zones    int
	}{
		{"disabled", 1 << mechanism.ZonePlacement, overload(), 0, 3},
		{"no preference for the own zone", 1 << mechanism.OwnZone, overload(), 0, 3},
		{"all entries are stale", 0, overload(), snapshot.MaxAge + time.Millisecond, 3},
		{"own zone is unknown", 0, map[string]float64{"b": 30, "c": 2}, 0, 3},
		{"other zones are unknown", 0, map[string]float64{"a": 30}, 0, 3},
		{"one zone", 0, map[string]float64{"a": 30}, 0, 1},
		{"own zone is below the threshold", 0, map[string]float64{"a": 0.69 * zoneSlots, "b": 0, "c": 0}, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			build := func(off mechanism.Off) *router.Router {
				r := router.New(router.Settings{Zone: "a", Off: off})
				require.NoError(t, r.Configure(configured(1)))
				r.SetTargets(epoch.Add(-time.Minute), zoneTargets()[:c.zones*zoneUpstreams])
				return r
			}
			with := newPlacement(build(c.off), c.occupied)
			with.viewAge = c.viewAge
			without := newPlacement(build(c.off), nil)
			got := with.flows(3 * time.Second)
			for i, v := range without.flows(3 * time.Second) {
				require.Equal(t, v, got[i], "flow %d", i)
			}
		})
	}
}

// A view that is no longer renewed must not decide for longer than its load is recent.
func TestFlowsStayOnceTheViewIsStale(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), overload())
	require.Less(t, byZone(p.flows(4 * time.Second)[3000:])["a"], 0.2)
	p.occupied = nil
	stale := p.now.Add(snapshot.MaxAge + time.Millisecond)
	for n := range 100 {
		require.Empty(t, p.Route(stale, opening(20_000+n)).Zone, "even if no tick has updated the shares")
	}
	p.flows(snapshot.MaxAge)
	for _, v := range p.flows(time.Second) {
		require.Empty(t, v.Zone)
	}
}

// A retransmitted opening that went to another upstream than the first one would be answered with
// another cookie. The shares change between the two.
func TestRetransmissionFollowsTheFirstOpeningAcrossZones(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), overload())
	p.flows(4 * time.Second)
	first := map[int]uint64{}
	for n := 20_000; n < 20_100; n++ {
		first[n] = p.Route(p.now, opening(n)).Incarnation
	}
	p.SetLoad(p.now.Add(100*time.Millisecond), loads(p.now.Add(100*time.Millisecond), map[string]float64{"a": 0}))
	for n, id := range first {
		v := p.Route(p.now.Add(150*time.Millisecond), opening(n))
		require.Equal(t, id, v.Incarnation)
		require.Equal(t, router.Repeated, v.Reason)
		require.Empty(t, v.Zone, "the flow is counted as spilled once")
	}
}

// A zone is partitioned off while it takes flows of zone a. Its entry in the view stays recent for a
// second, and its upstreams stay live for longer; the voters suspect it first.
func TestSuspectedZoneGetsNoFlowsOfOthers(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), overload())
	require.Greater(t, byZone(p.flows(4 * time.Second)[3000:])["b"], 0.4)
	// An answer from the zone after the first unanswered packet would refute the suspicion.
	p.SetSuspicions(p.now, map[evidence.Subject]suspicions.Suspicion{{Zone: "b"}: {First: p.now.Add(time.Millisecond)}})
	require.Zero(t, byZone(p.openings())["b"], "at once, although the shares still name the zone")
	p.flows(2 * time.Second)
	shares := byZone(p.flows(time.Second))
	require.Zero(t, shares["b"])
	require.Greater(t, shares["c"], 0.5, "the flows that still leave go to the remaining zone")
	// The zone answers again. Its share returns with the time constant.
	p.SetSuspicions(p.now, nil)
	require.Less(t, byZone(p.flows(100 * time.Millisecond))["b"], 0.2)
	require.Greater(t, byZone(p.flows(3 * time.Second)[2000:])["b"], 0.4)
}

// Openings to a zone that has just been cut off are lost, and no voter suspects it yet. New flows
// must avoid its upstreams as soon as the first openings are retransmitted.
func TestCutZoneIsAvoidedByLocalSuspicion(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), overload())
	p.flows(4 * time.Second)
	p.cut = "b"
	p.now = p.now.Add(time.Millisecond)
	var lost []int
	for n := 20_000; n < 20_100; n++ {
		if p.Route(p.now, opening(n)).Zone == "b" {
			lost = append(lost, n)
		}
	}
	p.now = p.now.Add(200 * time.Millisecond)
	for _, n := range lost {
		p.Route(p.now, opening(n))
	}
	require.Zero(t, byZone(p.flows(500 * time.Millisecond))["b"])
}

// A zone is evacuated while it takes flows of zone a; then zone a itself is evacuated.
func TestEvacuatedZoneGetsNoFlowsOfOthers(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), overload())
	require.Greater(t, byZone(p.flows(4 * time.Second)[3000:])["b"], 0.4)
	p.Evacuate(p.now, evacuate("b"))
	require.Zero(t, byZone(p.openings())["b"], "at once, although the shares still name the zone")
	p.flows(2 * time.Second)
	require.Greater(t, byZone(p.flows(time.Second))["c"], 0.5)
	p.Evacuate(p.now, evacuate("b", "a"))
	require.Equal(t, 1.0, byZone(p.flows(time.Second))["c"])
}

// Cold upstreams of another zone are assigned to balancers of that zone. Flows sent there would
// exceed their rate.
func TestColdZoneGetsNoFlowsOfOthers(t *testing.T) {
	r := router.New(router.Settings{Zone: "a"})
	c := configured(1)
	c.Services = []configuration.Service{{Name: "orders", Cold: &configuration.Cold{For: time.Hour, PerSecond: 5}}}
	require.NoError(t, r.Configure(c))
	targets := zoneTargets()
	for i := range targets {
		if targets[i].Zone == "b" {
			targets[i].ColdUntil = epoch.Add(6 * time.Second)
		}
	}
	r.SetTargets(epoch.Add(-time.Minute), targets)
	p := newPlacement(r, overload())
	shares := byZone(p.flows(5 * time.Second))
	require.Zero(t, shares["b"])
	require.Greater(t, shares["c"], 0.5)
	p.flows(4 * time.Second)
	require.Greater(t, byZone(p.flows(time.Second))["b"], 0.4, "once its upstreams are warm")
}

// A zone whose upstreams are withdrawn, silent or drain must not keep its share of flows. Their
// slots are counted when they change, not by a scan of all upstreams.
func TestZoneWithoutHealthyUpstreamsGetsNoFlowsOfOthers(t *testing.T) {
	for name, change := range map[string]func(*view.Target){
		"silent":   func(x *view.Target) { x.Live = false },
		"draining": func(x *view.Target) { x.State = upstream.Draining },
		"ended":    func(x *view.Target) { x.Ended = true },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacement(newRouter(t, zoneTargets()...), overload())
			p.flows(4 * time.Second)
			targets := zoneTargets()
			for i := range targets {
				if targets[i].Zone == "b" {
					change(&targets[i])
				}
			}
			p.Update(p.now, view.Changes{Targets: targets})
			require.Zero(t, byZone(p.openings())["b"])
			p.flows(2 * time.Second)
			shares := byZone(p.flows(time.Second))
			require.Zero(t, shares["b"])
			require.Greater(t, shares["c"], 0.5)
			p.Update(p.now, view.Changes{Targets: zoneTargets()})
			p.flows(3 * time.Second)
			require.Greater(t, byZone(p.flows(time.Second))["b"], 0.4, "once they are ready again")
		})
	}
}

// An upstream is announced in another zone than before. It would stay in the list of the former zone
// and get its share.
func TestUpstreamThatChangesZoneLeavesTheListOfTheFormerZone(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), overload())
	p.flows(4 * time.Second)
	targets := zoneTargets()
	for i := range targets {
		if targets[i].Zone == "b" {
			targets[i].Zone = "c"
		}
	}
	p.Update(p.now, view.Changes{Targets: targets})
	left := 0.0
	for _, v := range p.openings() {
		if v.Zone != "" {
			left++
		}
	}
	require.InDelta(t, 0.375, left/200, 0.1, "only the share of zone c; zone b has no upstreams")
}

// Buffered packets are placed if the upstream that they would get has room. A check of another
// upstream than Route chooses would hold them back, or place them all.
func TestMayPlaceChecksTheUpstreamOfTheOtherZone(t *testing.T) {
	p := newPlacement(newRouter(t, zoneTargets()...), map[string]float64{"a": 4 * zoneSlots, "b": 0, "c": 4 * zoneSlots})
	p.flows(6 * time.Second)
	p.cut = "b"
	all := p.flows(100 * time.Millisecond)
	held := 0.0
	for n := range 1000 {
		if !p.MayPlace(p.now, opening(20_000+n)) {
			held++
		}
	}
	require.InDelta(t, byZone(all)["b"], held/1000, 0.15, "zone b has flows pending, zone a has none")
	p.SetLoad(p.now.Add(viewInterval), snapshot.Snapshot{Version: math.MaxUint64})
	for n := range 1000 {
		require.True(t, p.MayPlace(p.now.Add(viewInterval), opening(20_000+n)))
	}
}

// Downloads and uploads fill links between zones; they leave later than short requests.
func TestBulkFlowsStayInTheirZoneLonger(t *testing.T) {
	for _, class := range []configuration.Class{configuration.Upload, configuration.Download} {
		r := router.New(router.Settings{Zone: "a"})
		c := configured(1)
		c.Routes[0].Class = class
		require.NoError(t, r.Configure(c))
		r.SetTargets(epoch.Add(-time.Minute), zoneTargets())
		p := newPlacement(r, map[string]float64{"a": 0.95 * zoneSlots, "b": 0, "c": 0})
		require.Equal(t, 1.0, byZone(p.flows(3 * time.Second))["a"], class)
		p.occupied["a"] = 2 * zoneSlots
		p.flows(3 * time.Second)
		require.Less(t, byZone(p.flows(time.Second))["a"], 0.2, class)
	}
}
