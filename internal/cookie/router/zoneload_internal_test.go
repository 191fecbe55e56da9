package router

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/zoneload/report"
)

var (
	loadEpoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	loadAddress = netip.MustParseAddrPort("10.9.0.1:80")
	urgentRoute = netip.MustParseAddrPort("10.9.0.2:80")
	uploadRoute = netip.MustParseAddrPort("10.9.0.3:80")
)

func loadTarget(id uint64, zone string) view.Target {
	return view.Target{Live: true, Upstream: upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(id)}), 80), Incarnation: id},
		Zone:     zone, Slots: 2, State: upstream.Ready,
	}}
}

func loadRouter(t require.TestingT, balancers int) *Router {
	r := New(Settings{Zone: "a"})
	require.NoError(t, r.Configure(configuration.Configuration{Revision: 1, Routes: []configuration.Route{
		{Name: "orders", Address: loadAddress, Service: "orders", Priority: 2},
		{Name: "urgent", Address: urgentRoute, Service: "orders", Priority: 1},
		{Name: "uploads", Address: uploadRoute, Service: "orders", Class: configuration.Upload, Priority: 2},
	}}))
	r.SetTargets(loadEpoch.Add(-time.Minute), []view.Target{loadTarget(1, "a"), loadTarget(2, "a"), loadTarget(3, "b")})
	r.SetBalancers(balancers)
	return r
}

func loadCaller(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 16), byte(n >> 8)}), uint16(1024+n&0xff))
}

// offerConstantLoad opens a flow every interval. Each handshake takes 8 ms and each request work
// more. It returns the sum of all slots that Load reports in each of the intervals between calls.
func offerConstantLoad(r *Router, interval, work, length, calls time.Duration) []float64 {
	var slots []float64
	const step = time.Millisecond
	const handshake = 8 * time.Millisecond
	type event struct {
		packet Packet
		at     time.Duration
	}
	var events []event
	for at, n := time.Duration(0), 0; at <= length+2*work; at += step {
		now := loadEpoch.Add(at)
		if at%(100*step) == 0 {
			r.Tick(now)
		}
		for len(events) > 0 && events[0].at <= at {
			r.Route(now, events[0].packet)
			events = events[1:]
		}
		if at%interval == 0 && at <= length {
			k := Packet{Caller: loadCaller(n), Address: loadAddress, Opening: true}
			n++
			v := r.Route(now, k)
			k.Opening, k.Cookie = false, v.Cookie
			request, answered := k, k
			request.Sequence, request.Length, request.Acknowledged = 1, 400, 1
			answered.Sequence, answered.Acknowledged, answered.Finish = 401, 900, true
			events = append(events, event{request, at + handshake}, event{answered, at + 2*handshake + work})
			slices.SortStableFunc(events, func(x, y event) int { return cmp.Compare(x.at, y.at) })
		}
		if calls > 0 && at > 0 && at <= length && at%calls == 0 {
			slots = append(slots, r.Load(now)[0].Total())
		}
	}
	return slots
}

// Guards against occupied slots that include handshakes and transit, or that depend on how often
// they are read: 100 requests a second of 50 ms occupy five slots.
func TestOccupiedSlotsFollowWorkAndNotTransit(t *testing.T) {
	for _, calls := range []time.Duration{45 * time.Millisecond, 80 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second} {
		slots := offerConstantLoad(loadRouter(t, 1), 10*time.Millisecond, 50*time.Millisecond, 2*time.Second, calls)
		for i, n := range slots {
			if time.Duration(i+1)*calls > 500*time.Millisecond {
				require.InDelta(t, 5, n, 0.6, "call %d every %v", i, calls)
			}
		}
	}
}

// Guards against load that stays after all requests were answered.
func TestLoadEndsWithTheLastRequest(t *testing.T) {
	r := loadRouter(t, 1)
	offerConstantLoad(r, 10*time.Millisecond, 50*time.Millisecond, time.Second, 0)
	s := r.Load(loadEpoch.Add(5 * time.Second))[0]
	require.Zero(t, s.Total())
	require.InDelta(t, 0, s.Admitted[report.Ordinary], 0.1)
}

// Guards against times without any packet that count as times with a request in flight, and the
// reverse, where packets are few. The first Load begins the window of the average, as the first report
// does; openings do not.
func TestSingleRequestOccupiesItsSlotFromStartToEnd(t *testing.T) {
	const handshake, work = 8 * time.Millisecond, 100 * time.Millisecond
	r := loadRouter(t, 1)
	r.Load(loadEpoch)
	offerConstantLoad(r, time.Hour, work, time.Second, 0)
	at := func(d time.Duration) time.Time { return loadEpoch.Add(2*time.Second + d) }
	total := func(d time.Duration) float64 { return r.Load(at(d))[0].Total() }
	p := Packet{Caller: loadCaller(9), Address: loadAddress, Opening: true}
	p.Cookie = r.Route(at(0), p).Cookie
	require.Zero(t, total(0), "nothing was in flight before")
	p.Opening, p.Sequence, p.Length, p.Acknowledged = false, 1, 400, 1
	r.Route(at(handshake), p)
	p.Sequence, p.Length, p.Acknowledged = 401, 0, 900
	r.Route(at(2*handshake+work), p)
	// The request was in flight for 108 of 200 ms, 8 of these in transit.
	require.InDelta(t, 0.5, total(200*time.Millisecond), 1e-9)
}

// Guards against a request on an idle flow that counts from the last packet before it, and against
// one whose caller gives up that does not count at all.
func TestAbandonedRequestOccupiedItsSlot(t *testing.T) {
	r := loadRouter(t, 1)
	r.Load(loadEpoch)
	p := Packet{Caller: loadCaller(9), Address: loadAddress, Opening: true}
	p.Cookie = r.Route(loadEpoch, p).Cookie
	p.Opening, p.Sequence, p.Acknowledged = false, 1, 1
	r.Route(loadEpoch.Add(8*time.Millisecond), p)
	p.Length = 400
	r.Route(loadEpoch.Add(1050*time.Millisecond), p)
	p.Sequence, p.Length, p.Finish = 401, 0, true
	r.Route(loadEpoch.Add(1150*time.Millisecond), p)
	require.InDelta(t, 0.5, r.Load(loadEpoch.Add(1200 * time.Millisecond))[0].Total(), 1e-9)
}

// Guards against an overdue request that does not even count for the time before it was overdue.
func TestOverdueRequestOccupiedItsSlotBefore(t *testing.T) {
	r := loadRouter(t, 1)
	p := Packet{Caller: loadCaller(9), Address: loadAddress, Opening: true}
	p.Cookie = r.Route(loadEpoch, p).Cookie
	p.Opening, p.Sequence, p.Length, p.Acknowledged = false, 1, 400, 1
	r.Route(loadEpoch.Add(8*time.Millisecond), p)
	r.Tick(loadEpoch.Add(308 * time.Millisecond))
	require.InDelta(t, 1, r.Load(loadEpoch.Add(308 * time.Millisecond))[0].Total(), 1e-9)
}

// A late answer ends an overdue request. The request counted again as occupying its slot since the last
// packet or report, which made a slow link look like full upstreams.
func TestLateAnswerOccupiesNoSlot(t *testing.T) {
	r := loadRouter(t, 1)
	r.Load(loadEpoch)
	p := Packet{Caller: loadCaller(9), Address: loadAddress, Opening: true}
	p.Cookie = r.Route(loadEpoch, p).Cookie
	p.Opening, p.Sequence, p.Length, p.Acknowledged = false, 1, 400, 1
	r.Route(loadEpoch.Add(8*time.Millisecond), p)
	r.Tick(loadEpoch.Add(308 * time.Millisecond))
	p.Sequence, p.Length, p.Acknowledged = 401, 0, 900
	r.Route(loadEpoch.Add(400*time.Millisecond), p)
	// The request occupied its slot for 8 of the last 200 ms, until it was overdue, and was in transit for
	// 8 ms.
	require.Zero(t, r.Load(loadEpoch.Add(500 * time.Millisecond))[0].Total())
}

// Guards against slots that seem occupied by requests of an upstream that does not answer: such
// requests are overdue after 300 ms.
func TestUnansweredRequestsDoNotOccupySlots(t *testing.T) {
	r := loadRouter(t, 1)
	var requests []Packet
	for n := range 10 {
		p := Packet{Caller: loadCaller(n), Address: loadAddress, Opening: true}
		p.Cookie = r.Route(loadEpoch, p).Cookie
		p.Opening, p.Sequence, p.Length, p.Acknowledged = false, 1, 400, 1
		requests = append(requests, p)
	}
	for _, p := range requests {
		r.Route(loadEpoch.Add(8*time.Millisecond), p)
	}
	for at := 100 * time.Millisecond; at <= 700*time.Millisecond; at += 100 * time.Millisecond {
		r.Tick(loadEpoch.Add(at))
		if at == 200*time.Millisecond {
			require.InDelta(t, 10, r.Load(loadEpoch.Add(at))[0].Total(), 0.5)
		}
	}
	require.Zero(t, r.Load(loadEpoch.Add(700 * time.Millisecond))[0].Total())
}

// Guards against rates of the wrong tier, and against rejected flows that are counted as admitted.
func TestNewFlowsAreCountedByTier(t *testing.T) {
	r := loadRouter(t, 1000)
	for n := range 2000 {
		p := Packet{Caller: loadCaller(n), Address: loadAddress, Opening: true}
		if n%4 == 0 {
			p.Address = urgentRoute
		}
		now := loadEpoch.Add(time.Duration(n) * time.Millisecond)
		r.Route(now, p)
		if n%100 == 0 {
			r.Load(now)
		}
	}
	s := r.Load(loadEpoch.Add(2 * time.Second))[0]
	require.InDelta(t, 250, s.Admitted[report.Urgent]+s.Rejected[report.Urgent], 30)
	require.InDelta(t, 750, s.Admitted[report.Ordinary]+s.Rejected[report.Ordinary], 60)
	require.Greater(t, s.Rejected[report.Ordinary], 300.0, "the concurrency limit is six requests")
	require.Greater(t, s.Admitted[report.Ordinary], 10.0)
}

// Guards against rates that depend on how often they are read.
func TestRatesDoNotDependOnTheTimesOfLoad(t *testing.T) {
	for _, calls := range []int{45, 80, 250, 1500} {
		r := loadRouter(t, 1)
		var last report.Service
		for n := range 3001 {
			now := loadEpoch.Add(time.Duration(n) * time.Millisecond)
			if n%5 == 0 {
				r.service("orders").load.noteAdmitted()
			}
			if n%calls == 0 {
				last = r.Load(now)[0]
			}
		}
		require.InDelta(t, 200, last.Admitted[report.Ordinary], 10, "every %d ms", calls)
	}
}

// Guards against figures that drift, and against openings, uploads or overdue requests that occupy
// slots: whatever packets arrive, the requests in flight by zone add up to the stored flows that wait for
// the answer to a request, and no figure is negative.
func TestLoadByZoneAddsUpToTheService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := loadRouter(t, 1)
		now := loadEpoch
		cookies := map[int]uint32{}
		born := uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 6).Draw(t, "flow")
			p := Packet{Caller: loadCaller(n), Address: loadAddress, Cookie: cookies[n]}
			if n%3 == 0 {
				p.Address = uploadRoute
			}
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0, 1, 2:
				p.Opening, p.Cookie = true, 0
				if v := r.Route(now, p); v.Action == Forward {
					cookies[n] = v.Cookie
				}
			case 3, 4:
				p.Sequence, p.Length = uint32(rapid.IntRange(1, 3).Draw(t, "sequence")*100), 100
				r.Route(now, p)
			case 5, 6:
				p.Acknowledged = uint32(rapid.IntRange(1, 9).Draw(t, "acknowledged") * 100)
				r.Route(now, p)
			case 7:
				p.Finish = true
				r.Route(now, p)
			case 8:
				born++
				x := loadTarget(uint64(rapid.IntRange(1, 3).Draw(t, "upstream")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"))
				x.Born, x.Ended = born*uint64(rapid.IntRange(0, 1).Draw(t, "restarted")), rapid.Bool().Draw(t, "ended")
				r.Update(now, view.Changes{Targets: []view.Target{x}})
			case 9:
				r.SetSuspicions(now, map[evidence.Subject]suspicions.Suspicion{{Zone: "a"}: {First: now, Unresponsive: rapid.Bool().Draw(t, "unresponsive")}})
			case 10:
				r.Tick(now)
			}
			s := r.service("orders")
			sum := 0
			for _, z := range s.load.zones {
				require.GreaterOrEqual(t, z.occupied.InFlight(), 0)
				sum += z.occupied.InFlight()
			}
			require.Equal(t, s.load.inFlight, sum)
			occupying, pending := 0, 0
			for _, f := range r.flows {
				if (f.opening || f.requestPending) && !f.overdue {
					pending++
				}
				if f.requestPending && !f.overdue && !f.upload {
					occupying++
				}
			}
			require.Equal(t, occupying, sum)
			require.Equal(t, pending, s.effectiveInFlight())
			if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
				for zone, n := range r.Load(now)[0].Occupied {
					require.GreaterOrEqual(t, n, 0.0, fmt.Sprint(zone))
				}
			}
		}
	})
}

// Guards against requests that occupy slots for good, or that free a slot twice: a request becomes
// overdue, is sent to a suspected upstream, is answered, abandoned, expires, or its flow is removed, in
// any order. Once all have expired, no slot is occupied.
func TestOccupiedSlotsReturnToZero(t *testing.T) {
	const flows = 4
	rapid.Check(t, func(t *rapid.T) {
		r := loadRouter(t, 1)
		r.Load(loadEpoch)
		now, born := loadEpoch, uint64(0)
		var packets [flows]Packet
		open := func(n int) {
			p := Packet{Caller: loadCaller(n), Address: []netip.AddrPort{loadAddress, uploadRoute}[n%2], Opening: true}
			p.Cookie = r.Route(now, p).Cookie
			p.Opening, p.Sequence, p.Acknowledged = false, 1, 1
			packets[n] = p
		}
		for n := range flows {
			open(n)
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			// Requests are overdue after 300 ms and expire after 2 s.
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 40, 301, 2001}).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, flows-1).Draw(t, "flow")
			p := &packets[n]
			switch rapid.SampledFrom([]string{"open", "request", "copy", "answer", "finish", "tick", "load", "suspect", "restart"}).Draw(t, "event") {
			case "open":
				open(n)
			case "request":
				p.Length = 100
				r.Route(now, *p)
				p.Sequence, p.Length = p.Sequence+100, 0
			case "copy":
				repeated := *p
				repeated.Sequence, repeated.Length = p.Sequence-100, 100
				r.Route(now, repeated)
			case "answer":
				p.Acknowledged += 100
				r.Route(now, *p)
			case "finish":
				finish := *p
				finish.Finish = true
				r.Route(now, finish)
			case "tick":
				r.Tick(now)
			case "load":
				r.Load(now)
			case "suspect":
				r.SetSuspicions(now, map[evidence.Subject]suspicions.Suspicion{{Zone: "a"}: {First: now, Unresponsive: rapid.Bool().Draw(t, "unresponsive")}})
			case "restart":
				born++
				x := loadTarget(uint64(rapid.IntRange(1, 3).Draw(t, "upstream")), "a")
				x.Born, x.Ended = born, rapid.Bool().Draw(t, "ended")
				r.Update(now, view.Changes{Targets: []view.Target{x}})
			}
			for _, z := range r.service("orders").load.zones {
				require.GreaterOrEqual(t, z.occupied.InFlight(), 0, z.zone)
				require.LessOrEqual(t, z.occupied.InFlight(), flows/2, "uploads occupy no slots")
			}
		}
		r.Tick(now.Add(requestTTL + sweepInterval))
		for _, z := range r.service("orders").load.zones {
			require.Zero(t, z.occupied.InFlight(), z.zone)
		}
		require.Zero(t, r.service("orders").load.inFlight)
		require.Zero(t, r.Load(now.Add(2 * requestTTL))[0].Total())
	})
}

// BenchmarkRequest forwards a request and the acknowledgment of its answer.
func BenchmarkRequest(b *testing.B) {
	r := loadRouter(b, 1)
	packets := make([]Packet, 1024)
	for n := range packets {
		p := Packet{Caller: loadCaller(n), Address: loadAddress, Opening: true}
		v := r.Route(loadEpoch, p)
		packets[n] = Packet{Caller: p.Caller, Address: loadAddress, Cookie: v.Cookie}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now := loadEpoch.Add(time.Duration(n) * time.Millisecond)
		p := &packets[n%len(packets)]
		p.Length = 100
		r.Route(now, *p)
		p.Sequence += 100
		p.Acknowledged += 100
		p.Length = 0
		r.Route(now, *p)
		if n%100 == 0 {
			r.Tick(now)
		}
	}
}

// An upstream that is forgotten and returns in another zone must not take its pending flows out of the load of
// a zone that never counted them.
func TestLoadOfUpstreamThatReturnsInAnotherZone(t *testing.T) {
	r := loadRouter(t, 1)
	v := r.Route(loadEpoch, Packet{Caller: loadCaller(1), Address: loadAddress, Opening: true})
	require.Equal(t, Forward, v.Action)
	p := Packet{Caller: loadCaller(1), Address: loadAddress, Cookie: v.Cookie, Sequence: 100, Length: 100}
	r.Route(loadEpoch, p)
	r.Update(loadEpoch, view.Changes{Removed: []uint64{v.Incarnation}})
	r.Update(loadEpoch, view.Changes{Targets: []view.Target{loadTarget(v.Incarnation, "b")}})
	p.Length, p.Acknowledged = 0, 200
	r.Route(loadEpoch, p)
	for _, z := range r.service("orders").load.zones {
		require.Zero(t, z.occupied.InFlight())
	}
}
