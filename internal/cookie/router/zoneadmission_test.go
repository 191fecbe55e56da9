package router_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
)

// loadView returns a view in which the callers of each zone occupy slots of the service orders, by
// zone of the upstreams.
func loadView(version uint64, measured time.Time, occupied map[string]map[string]float64) snapshot.Snapshot {
	s := snapshot.Snapshot{Version: version, Zones: map[string]snapshot.Zone{}}
	for zone, x := range occupied {
		s.Zones[zone] = snapshot.Zone{Measured: measured, Balancers: 1, Services: map[string]snapshot.Service{"orders": {Occupied: x}}}
	}
	return s
}

// localLoad returns a view of zone "a" alone.
func localLoad(version uint64, measured time.Time, occupied float64) snapshot.Snapshot {
	return loadView(version, measured, map[string]map[string]float64{"a": {"a": occupied}})
}

// admissionRouter returns a router with two upstreams of two slots in each of zones a and b. Orders
// are ordinary, since notes of a better priority are in demand.
func admissionRouter(t require.TestingT, off mechanism.Off) *router.Router {
	r := router.New(router.Settings{Zone: "a", Off: off})
	require.NoError(t, r.Configure(configuration.Configuration{Revision: 1, Routes: []configuration.Route{
		{Name: "orders", Address: orders, Service: "orders", Objective: 400 * time.Millisecond, Priority: 2},
		{Name: "urgent", Address: notes, Service: "orders", Objective: 400 * time.Millisecond, Priority: 1},
	}}))
	r.SetTargets(epoch.Add(-time.Minute), []view.Target{
		target(1, "orders", "a"), target(2, "orders", "a"), target(3, "orders", "b"), target(4, "orders", "b"),
	})
	return r
}

// open sends an urgent and an ordinary opening of new callers, resets both flows, and returns the
// verdicts.
func open(r *router.Router, now time.Time, n int) (urgent, ordinary router.Verdict) {
	first := func(address netip.AddrPort) router.Verdict {
		p := router.Packet{Caller: caller(n), Address: address, Opening: true}
		v := r.Route(now, p)
		if v.Action == router.Forward {
			r.Route(now, router.Packet{Caller: p.Caller, Address: address, Cookie: v.Cookie, Reset: true})
		}
		return v
	}
	return first(notes), first(orders)
}

// Guards against limits that ignore the load of other balancers, and verdicts that do not show what
// decided.
func TestLoadOfAllZonesRejectsFlows(t *testing.T) {
	for _, c := range []struct {
		name             string
		occupied         map[string]map[string]float64
		urgent, ordinary bool
	}{
		{"short queues", map[string]map[string]float64{"a": {"a": 8}, "b": {"b": 8}}, true, true},
		{"callers of one zone at another", map[string]map[string]float64{"a": {"a": 4, "b": 12}, "b": {"b": 12}}, true, false},
		{"full queues", map[string]map[string]float64{"a": {"a": 20}, "b": {"b": 20}}, false, false},
		{"zone without an entry counts neither way", map[string]map[string]float64{"a": {"a": 8, "b": 100}}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := admissionRouter(t, 0)
			open(r, epoch, 0)
			r.SetLoad(epoch, loadView(7, epoch.Add(-200*time.Millisecond), c.occupied))
			urgent, ordinary := open(r, epoch, 1)
			require.Equal(t, c.urgent, urgent.Action == router.Forward)
			require.Equal(t, c.ordinary, ordinary.Action == router.Forward)
			if !c.ordinary {
				require.Equal(t, router.Overloaded, ordinary.Reason)
				require.Equal(t, router.Reset, ordinary.Action)
				require.Equal(t, 3.0, ordinary.SlotLimit)
				require.GreaterOrEqual(t, ordinary.Use, 3.0)
				require.Equal(t, uint64(7), ordinary.LoadVersion)
				require.Equal(t, 200*time.Millisecond, ordinary.LoadAge)
				require.Zero(t, ordinary.Limit)
			}
		})
	}
}

// Guards against decisions by a view that is too old, that a newer one has replaced, or that is
// switched off.
func TestOnlyTheLatestFreshViewDecides(t *testing.T) {
	full, empty := 20.0, 0.0
	r := admissionRouter(t, 0)
	rejects := func(now time.Time) bool {
		_, ordinary := open(r, now, 1)
		return ordinary.Action != router.Forward
	}
	rejects(epoch)
	r.SetLoad(epoch, localLoad(2, epoch, full))
	require.True(t, rejects(epoch))
	require.True(t, rejects(epoch.Add(snapshot.MaxAge)))
	require.False(t, rejects(epoch.Add(snapshot.MaxAge+time.Millisecond)), "the view is too old")
	now := epoch.Add(2 * time.Second)
	r.SetLoad(now, localLoad(4, now, full))
	r.SetLoad(now, localLoad(3, now, empty))
	require.True(t, rejects(now), "an older view changes nothing")
	r.SetLoad(now, localLoad(5, now, empty))
	require.False(t, rejects(now), "a view without load admits all flows at once")
	r.SetLoad(now, loadView(6, now, map[string]map[string]float64{"b": {"b": full}}))
	require.False(t, rejects(now), "the view has no entry of the own zone")

	off, err := mechanism.Parse("ZoneAdmission")
	require.NoError(t, err)
	r = admissionRouter(t, off)
	rejects(epoch)
	r.SetLoad(epoch, localLoad(1, epoch, full))
	require.False(t, rejects(epoch))
}

// A burst of a dozen requests at one balancer counted as threefold load of all balancers, so that flows
// were rejected while half of the 240 slots were free. A burst that lasts until this balancer's limit is
// reached, without a later view, is still rejected.
func TestBurstAtOneBalancerDoesNotRejectFlows(t *testing.T) {
	r := router.New(router.Settings{Zone: "a"})
	require.NoError(t, r.Configure(configuration.Configuration{Revision: 1, Routes: []configuration.Route{
		{Name: "orders", Address: orders, Service: "orders", Objective: 100 * time.Millisecond, Priority: 2},
		{Name: "urgent", Address: notes, Service: "orders", Objective: 100 * time.Millisecond, Priority: 1},
	}}))
	large := func(i int) view.Target {
		x := target(uint64(i+1), "orders", "a")
		x.Slots = 60
		return x
	}
	r.SetTargets(epoch.Add(-time.Minute), lo.Times(4, large))
	r.SetBalancers(85)
	now, n := epoch, 0
	var pending []router.Packet
	open := func(requests int) (rejected int) {
		for range requests {
			n++
			p := router.Packet{Caller: caller(n), Address: orders, Opening: true}
			if n%8 == 0 {
				p.Address = notes
			}
			v := r.Route(now, p)
			if v.Action != router.Forward {
				rejected++
				continue
			}
			p = router.Packet{Caller: caller(n), Address: p.Address, Cookie: v.Cookie, Sequence: 1, Acknowledged: 1}
			r.Route(now, p)
			p.Length = 100
			r.Route(now, p)
			p.Sequence, p.Length, p.Acknowledged, p.Finish = 101, 0, 500, true
			pending = append(pending, p)
		}
		return rejected
	}
	answer := func() {
		for _, p := range pending {
			r.Route(now, p)
		}
		pending = nil
	}
	view := func() { r.SetLoad(now, localLoad(uint64(n+1), now.Add(-100*time.Millisecond), 0.45*240)) }
	for range 50 {
		view()
		require.Zero(t, open(1))
		now = now.Add(60 * time.Millisecond)
		answer()
		now = now.Add(40 * time.Millisecond)
		r.Tick(now)
	}
	view()
	require.Zero(t, open(12), "at most 0.5 of the slots are used")
	rejected := 0
	for range 80 {
		now = now.Add(10 * time.Millisecond)
		rejected += open(1)
		if now.UnixMilli()%100 == 0 {
			r.Tick(now)
		}
	}
	require.Positive(t, rejected, "the burst lasts")
}

// A burst at the balancers of one zone counted as one in all zones: flows were rejected while the sum over
// the zones had room. The same growth of a load that the own zone's callers cause alone is a burst, and so
// is that of zones that are all busy.
func TestBurstInOneZoneDoesNotScaleTheLoadOfOthers(t *testing.T) {
	for _, c := range []struct {
		name             string
		own, other, use  float64
		ordinaryAdmitted bool
	}{
		{"callers of the other zone", 1, 5, 8.0 / 8, true},
		{"callers of the own zone", 8, 0, 3, false},
		{"callers of both zones", 1, 7, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := admissionRouter(t, 0)
			open(r, epoch, 0)
			r.SetLoad(epoch, loadView(1, epoch, map[string]map[string]float64{"a": {"a": c.own}, "b": {"b": c.other}}))
			open(r, epoch, 1)
			for n := range 8 {
				p := router.Packet{Caller: caller(10 + n), Address: notes, Opening: true}
				v := r.Route(epoch, p)
				require.Equal(t, router.Forward, v.Action)
				r.Route(epoch, router.Packet{Caller: p.Caller, Address: notes, Cookie: v.Cookie, Sequence: 1, Acknowledged: 1, Length: 100})
			}
			v := r.Route(epoch, router.Packet{Caller: caller(20), Address: orders, Opening: true})
			require.Equal(t, c.ordinaryAdmitted, v.Action == router.Forward)
			if !c.ordinaryAdmitted {
				require.InDelta(t, c.use, v.Use, 1e-9)
			}
		})
	}
}

// Guards against a use that counts the slots of an evacuated zone, or what open flows still occupy
// there.
func TestEvacuatedSlotsDoNotCount(t *testing.T) {
	r := admissionRouter(t, 0)
	open(r, epoch, 0)
	r.SetLoad(epoch, loadView(1, epoch, map[string]map[string]float64{"a": {"a": 7}, "b": {"b": 7}}))
	_, ordinary := open(r, epoch, 1)
	require.Equal(t, router.Forward, ordinary.Action)
	r.SetLoad(epoch, loadView(2, epoch, map[string]map[string]float64{"a": {"a": 14}, "b": {}}))
	_, ordinary = open(r, epoch, 2)
	require.Equal(t, router.Forward, ordinary.Action)
	r.Evacuate(epoch, evacuate("b"))
	_, ordinary = open(r, epoch, 3)
	require.Equal(t, router.Overloaded, ordinary.Reason, "14 occupied of 4 slots")
	r.SetLoad(epoch, loadView(3, epoch, map[string]map[string]float64{"a": {"a": 4, "b": 20}, "b": {"b": 20}}))
	_, ordinary = open(r, epoch, 4)
	require.Equal(t, router.Forward, ordinary.Action)
}

// A fresh view may include few balancers, while others change their parent or run an older build.
// Their load then seemed to be the zone's: flows of a full service were admitted without limit.
func TestViewOfFewBalancersDoesNotDecide(t *testing.T) {
	for _, c := range []struct {
		included int
		decides  bool
	}{{1, false}, {14, false}, {15, true}, {30, true}} {
		rejected := [2]int{}
		for i, zone := range []string{"a", "b"} {
			r := admissionRouter(t, 0)
			r.SetBalancers(30)
			entry := func(name string, balancers int) report.Zone {
				return report.Zone{
					Name: name, Balancers: balancers, Known: 30,
					Services: []report.Service{{Name: "orders", Occupied: map[string]float64{name: 0.5}}},
				}
			}
			for n := range 200 {
				now := epoch.Add(time.Duration(n) * 10 * time.Millisecond)
				zones := []report.Zone{entry("a", 30), entry("b", 30)}
				zones[i] = entry(zone, c.included)
				r.SetLoad(now, snapshot.Snapshot{Version: uint64(n)}.With(now, zones))
				for k := range 2 {
					if r.Route(now, opening(1000+2*n+k)).Reason == router.Overloaded {
						rejected[i]++
					}
				}
			}
		}
		require.Equal(t, c.decides, rejected[0] == 0, "%d of 30 balancers of the own zone", c.included)
		require.Zero(t, rejected[1], "the own zone is used at 0.1")
	}
}

// Guards against rejections while half of the slots of all zones are free: the limit of each balancer
// used to reject callers of the zone with the highest load per balancer, and slow responses of a few
// upstreams those of any zone.
func TestNothingIsRejectedBelowHalfUse(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		r := admissionRouter(t, 0)
		r.SetBalancers(30)
		rejected := 0
		for i := range 400 {
			now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
			if fresh && i%5 == 0 {
				r.SetLoad(now, loadView(uint64(i+1), now.Add(-100*time.Millisecond), map[string]map[string]float64{"a": {"a": 1}, "b": {"b": 0.3}}))
			}
			for k := range 2 {
				if r.Route(now, opening(1000+2*i+k)).Reason == router.Overloaded {
					rejected++
				}
			}
			if i%10 == 0 {
				r.Tick(now)
			}
		}
		if fresh {
			require.Zero(t, rejected)
		} else {
			require.Positive(t, rejected, "the limit of this balancer is reached")
		}
	}
}

// Guards against a caller whose retries are rejected because its first attempt was: each port is
// decided independently, and a copy of an opening as the opening was.
func TestRetryFromAnotherPortIsDecidedIndependently(t *testing.T) {
	r := admissionRouter(t, 0)
	open(r, epoch, 0)
	r.SetLoad(epoch, loadView(1, epoch, map[string]map[string]float64{"a": {"a": 10.8}, "b": {"b": 10.8}}))
	const callers, tries = 400, 3
	var rejected [tries + 1]int
	for n := range callers {
		open(r, epoch, 1000+n) // keeps the better priority in demand
		rejections := 0
		for port := range uint16(tries) {
			p := router.Packet{Caller: netip.AddrPortFrom(caller(n).Addr(), 40000+port), Address: orders, Opening: true}
			v := r.Route(epoch, p)
			if v.Reason == router.Overloaded {
				rejections++
				require.Equal(t, router.Overloaded, r.Route(epoch, p).Reason, "a copy of the opening")
				continue
			}
			r.Route(epoch, router.Packet{Caller: p.Caller, Address: orders, Cookie: v.Cookie, Reset: true})
			require.Equal(t, router.Placed, r.Route(epoch, p).Reason, "the port is admitted again")
			r.Route(epoch, router.Packet{Caller: p.Caller, Address: orders, Cookie: v.Cookie, Reset: true})
		}
		rejected[rejections]++
	}
	// Half of the flows are rejected at 0.9 of the limit, so the numbers of rejections are binomial.
	for n, share := range [tries + 1]float64{0.125, 0.375, 0.375, 0.125} {
		require.InDelta(t, share*callers, rejected[n], 35, "%d rejections", n)
	}
}

// Guards against decisions that depend on clocks that agree: balancers whose clocks differ by seconds
// decide alike on the same flows and views.
func TestClocksThatDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skew := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "skew"))
		a, b := admissionRouter(t, 0), admissionRouter(t, 0)
		for n := range 100 {
			now := epoch.Add(time.Duration(n) * 10 * time.Millisecond)
			if n%5 == 0 {
				occupied := map[string]map[string]float64{"a": {"a": 10.8}, "b": {"b": 10.8}}
				a.SetLoad(now, loadView(uint64(n+1), now.Add(-250*time.Millisecond), occupied))
				b.SetLoad(now.Add(skew), loadView(uint64(n+1), now.Add(skew-250*time.Millisecond), occupied))
			}
			for i, x := range []*router.Router{a, b} {
				at := now.Add(time.Duration(i) * skew)
				if n%10 == 0 {
					x.Tick(at)
				}
			}
			urgentA, ordinaryA := open(a, now, n)
			urgentB, ordinaryB := open(b, now.Add(skew), n)
			require.Equal(t, urgentA.Reason, urgentB.Reason)
			require.Equal(t, ordinaryA.Reason, ordinaryB.Reason)
		}
	})
}

// Guards against decisions that differ from those without shared load while no fresh view is known,
// also in the middle of a burst after views were lost: limits that were not kept up to date
// meanwhile would reject too much or too little.
func TestDecisionsWithoutAFreshViewAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		off, err := mechanism.Parse("ZoneAdmission")
		require.NoError(t, err)
		with, without := admissionRouter(t, 0), admissionRouter(t, off)
		balancers := rapid.IntRange(1, 5).Draw(t, "balancers")
		with.SetBalancers(balancers)
		without.SetBalancers(balancers)
		now, latest := epoch, epoch.Add(-time.Hour)
		for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				with.Tick(now)
				without.Tick(now)
			case 1:
				measured := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
				// Below half use both routers admit the same flows, unless the limit rejects.
				s := localLoad(uint64(n), measured, 6)
				with.SetLoad(now, s)
				without.SetLoad(now, s)
				latest = measured
			default:
				fresh := now.Sub(latest) <= snapshot.MaxAge
				a, b := with.Route(now, opening(n)), without.Route(now, opening(n))
				if !fresh {
					require.Equal(t, b, a)
				}
				if a.Action != b.Action {
					// The routers' flows differ from here on.
					return
				}
				if a.Action == router.Forward && rapid.Bool().Draw(t, "close") {
					p := router.Packet{Caller: caller(n), Address: orders, Cookie: a.Cookie, Reset: true}
					with.Route(now, p)
					without.Route(now, p)
				}
			}
		}
	})
}

// Guards against a lasting effect of views that are lost in the middle of a burst: decisions are
// those of this balancer alone then, and by the load of all zones again with the next view.
func TestViewLostInABurst(t *testing.T) {
	r := admissionRouter(t, 0)
	open(r, epoch, 0)
	count := func(from time.Time, views bool) (rejected int) {
		for i := range 100 {
			now := from.Add(time.Duration(i) * 20 * time.Millisecond)
			if views && i%5 == 0 {
				r.SetLoad(now, localLoad(uint64(now.Sub(epoch)/time.Millisecond)+1, now.Add(-100*time.Millisecond), 40))
			}
			if _, ordinary := open(r, now, i); ordinary.Reason == router.Overloaded {
				rejected++
			}
		}
		return rejected
	}
	require.Equal(t, 100, count(epoch, true))
	lost := count(epoch.Add(2*time.Second), false)
	require.Equal(t, 41, lost, "the last view counts for 0.8 s more")
	require.Equal(t, 100, count(epoch.Add(4*time.Second), true))
}

// deliverLoad measures the requests at all servers every 20 ms, and delivers every third mean of the
// last 200 ms to all routers 250 ms later.
func (s *simulation) deliverLoad(samples []float64) {
	s.AfterFunc(20*time.Millisecond, func() {
		occupied := 0.0
		for _, x := range s.servers {
			occupied += float64(x.busy + len(x.queue))
		}
		samples = append(samples, occupied)
		if len(samples)%3 == 0 {
			last := samples[max(len(samples)-10, 0):]
			load := localLoad(uint64(len(samples)), s.Now, lo.Sum(last)/float64(len(last)))
			s.AfterFunc(250*time.Millisecond, func() {
				for _, r := range s.routers {
					r.SetLoad(s.Now, load)
				}
			})
		}
		s.deliverLoad(samples)
	})
}

// Guards against queues that fill, or urgent callers that fail, when routers compare a view that is
// old with their present requests in flight: callers offer 1.5 and 3 times the capacity at once. Without
// views, the limit of each balancer decides. In the first second, before a view of the load arrives,
// upstreams refuse a quarter to two fifths more than without views.
func TestRoutersRejectByOldViews(t *testing.T) {
	for _, load := range []float64{0.45, 1.5, 3} {
		fullWithout := 0
		for _, views := range []bool{false, true} {
			s := newSimulationOf(t, epoch.Add(-time.Minute), fleetObjective, nil, fleetBalancers, fleetUpstreams)
			s.meanProcessingTime, s.responseTimeObjective = fleetProcessingTime, fleetObjective
			for _, r := range s.routers {
				r.SetBalancers(fleetBalancers)
			}
			if views {
				s.deliverLoad(nil)
			}
			s.tick()
			s.offer(load * fleetUpstreams * slotsPerUpstream / fleetProcessingTime.Seconds())
			s.run(warmUp)
			atBegin := s.queueFull
			s.run(duration)
			urgent, all := float64(s.urgentInTime)/float64(s.urgentOffered), float64(s.inTime)/float64(s.offered)
			t.Logf("at %.2f of the capacity, views %v: urgent in time %.3f, all %.3f, rejected %d, at full queues %d of %d and %d in the first second", load, views, urgent, all, s.rejected, s.queueFull-atBegin, s.offered, atBegin)
			if !views {
				fullWithout = s.queueFull - atBegin
				continue
			}
			require.LessOrEqual(t, s.queueFull-atBegin, fullWithout/2)
			require.Greater(t, all, min(1, 1/load)-0.1)
			require.GreaterOrEqual(t, urgent, min(0.95, 4/load-0.4))
			if load < 0.5 {
				require.Zero(t, s.rejected)
			}
		}
	}
}

// Uploads of 40 kB over a link of 2 Mbit/s are in flight for 0.3 s, and occupy a slot for a few
// milliseconds of them. They counted as occupied for the whole time, and their growth as that of the
// load, so that ordinary flows were rejected while most slots were free.
func TestUploadsInTransitOccupyNoSlots(t *testing.T) {
	r := router.New(router.Settings{Zone: "a"})
	require.NoError(t, r.Configure(configuration.Configuration{Revision: 1, Routes: []configuration.Route{
		{Name: "orders", Address: orders, Service: "orders", Objective: 100 * time.Millisecond, Priority: 1},
		{Name: "uploads", Address: notes, Service: "orders", Class: configuration.Upload, Priority: 1},
	}}))
	r.SetTargets(epoch.Add(-time.Minute), []view.Target{target(1, "orders", "a"), target(2, "orders", "a")})
	r.SetBalancers(1)
	type upload struct {
		packet router.Packet
		sent   time.Time
	}
	var uploads []upload
	occupied := func(now time.Time) float64 {
		load, _ := lo.Find(r.Load(now), func(s report.Service) bool { return s.Name == "orders" })
		return load.Occupied["a"]
	}
	for i := range 300 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if i%5 == 0 {
			r.SetLoad(now, localLoad(uint64(i+1), now, occupied(now)))
		}
		if i%2 == 0 && i > 100 {
			// Some uploads come from flows that another balancer placed.
			p := router.Packet{Caller: caller(1000 + i), Address: notes, Cookie: router.Cookie(1, 0), Sequence: 1, Acknowledged: 1}
			if i%4 == 0 {
				v := r.Route(now, router.Packet{Caller: p.Caller, Address: notes, Opening: true})
				require.Equal(t, router.Placed, v.Reason)
				p.Cookie = v.Cookie
			}
			r.Route(now, p)
			p.Length = 1200
			uploads = append(uploads, upload{p, now})
		}
		for j := range uploads {
			u := &uploads[j]
			r.Route(now, u.packet)
			u.packet.Sequence += 1200
		}
		for len(uploads) > 0 && now.Sub(uploads[0].sent) >= 290*time.Millisecond {
			p := uploads[0].packet
			p.Length, p.Acknowledged, p.Finish = 0, 200, true
			r.Route(now, p)
			uploads = uploads[1:]
		}
		_, ordinary := open(r, now, i)
		require.Equal(t, router.Placed, ordinary.Reason, "at %v", now.Sub(epoch))
		if i%10 == 0 {
			r.Tick(now)
		}
	}
	require.Len(t, uploads, 14)
	require.Less(t, occupied(epoch.Add(3*time.Second)), 0.5)
}

// BenchmarkOpeningWithLoad is BenchmarkOpening with a view of all zones, which changes every 50 ms.
func BenchmarkOpeningWithLoad(b *testing.B) {
	for _, n := range []int{14, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRouter(b, targetsInZones(n)...)
			occupied := map[string]map[string]float64{}
			for i := range 18 {
				occupied[string(rune('a'+i))] = map[string]float64{"a": 1.3 * float64(n) / 18, "b": 0.2}
			}
			// The other zones' entries never expire, so that the loop sets few of them.
			s := loadView(1, epoch.Add(time.Hour), occupied)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now := epoch.Add(time.Duration(n) * time.Millisecond)
				if n%50 == 0 {
					s.Version++
					s.Zones["a"] = snapshot.Zone{Measured: now, Services: s.Zones["a"].Services}
					r.SetLoad(now, s)
				}
				r.Route(now, opening(n&0x7fff))
				if n%100 == 0 {
					r.Tick(now)
				}
			}
		})
	}
}
