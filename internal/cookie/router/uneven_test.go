package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/uneven"
	"wasabideal/internal/upstream/view"
)

// unevenFleet plays requests, one for each flow, through several balancers at upstreams of which some
// reject a part of their requests.
type unevenFleet struct {
	random   *rand.Rand
	routers  []*router.Router
	detector *uneven.Detector
	now      time.Time
	events   map[time.Time][]func()
	// verdicts passes the findings of the detector to the balancers.
	verdicts bool
	callers  int
	// rejects returns the probability that an upstream rejects a request.
	rejects func(incarnation uint64) float64
	// naturallyShort is the probability of a short answer that is no rejection.
	naturallyShort float64
	// rejected and requests count by second.
	rejected, requests map[int]int
	// flows counts the flows of each upstream since it was last cleared.
	flows map[uint64]int
	// wrong is the largest number of upstreams at reduced weight.
	reduced int
}

const (
	unevenUpstreams, unevenBalancers = 120, 33
	unevenRate                       = 12 * unevenUpstreams
)

func newUnevenFleet(t *testing.T, seed uint64, verdicts bool) *unevenFleet {
	f := &unevenFleet{
		random: rand.New(rand.NewPCG(seed, 7)), detector: uneven.New(), now: epoch, verdicts: verdicts, events: map[time.Time][]func(){},
		rejected: map[int]int{}, requests: map[int]int{}, flows: map[uint64]int{},
		rejects: func(uint64) float64 { return 0 },
	}
	var all []view.Target
	for n := range uint64(unevenUpstreams) {
		all = append(all, target(n+1, "orders", "a"))
	}
	for n := range uint64(unevenBalancers) {
		r := router.New(router.Settings{Zone: "a", Seed: n * 7919, MeasureAnswers: verdicts})
		require.NoError(t, r.Configure(configured(1)))
		r.SetTargets(epoch.Add(-time.Minute), all)
		r.SetBalancers(unevenBalancers)
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *unevenFleet) after(d time.Duration, do func()) {
	at := f.now.Add(d.Round(time.Millisecond))
	f.events[at] = append(f.events[at], do)
}

func (f *unevenFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Millisecond)
		due := f.events[f.now]
		delete(f.events, f.now)
		for _, do := range due {
			do()
		}
		for f.random.Float64() < unevenRate/1000.0/(1+unevenRate/1000.0) {
			f.request()
		}
		elapsed := f.now.Sub(epoch).Milliseconds()
		for n, r := range f.routers {
			if (elapsed+int64(3*n))%100 == 0 {
				r.Tick(f.now)
				f.report(n, r)
			}
		}
		if elapsed%100 == 0 {
			f.detector.Evaluate(f.now)
			f.distribute()
		}
	}
}

// report sends the counts of a balancer to the voter, 50 ms away with its parent.
func (f *unevenFleet) report(n int, r *router.Router) {
	if all := r.Answers(f.now); len(all) > 0 {
		x := evidence.Report{From: fmt.Sprint(n), Batch: uint64(f.now.UnixNano()), Answers: all}
		f.after(50*time.Millisecond, func() { f.detector.Record(f.now, x) })
	}
}

// distribute sends the verdicts of the voter, 200 ms away with relays and pacing.
func (f *unevenFleet) distribute() {
	if !f.verdicts {
		return
	}
	all := f.detector.Reduced()
	f.reduced = max(f.reduced, len(all))
	f.after(200*time.Millisecond, func() {
		for _, r := range f.routers {
			r.SetReduced(all)
		}
	})
}

// request opens a flow, sends a request and closes the flow after the answer.
func (f *unevenFleet) request() {
	r := f.routers[f.random.IntN(len(f.routers))]
	f.callers++
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(f.callers >> 24), byte(f.callers >> 16), byte(f.callers >> 8)}), uint16(1024+f.callers&0xff))
	v := r.Route(f.now, router.Packet{Caller: from, Address: orders, Opening: true})
	second := int(f.now.Sub(epoch) / time.Second)
	f.requests[second]++
	if v.Action != router.Forward {
		return
	}
	f.flows[v.Incarnation]++
	size, work := uint32(8000*math.Exp(f.random.NormFloat64())), time.Duration(float64(25*time.Millisecond)*math.Exp(f.random.NormFloat64()/2))
	if f.random.Float64() < f.rejects(v.Incarnation) {
		size, work = 150, 2*time.Millisecond
		f.rejected[second]++
	} else if f.random.Float64() < f.naturallyShort {
		size, work = 150, 2*time.Millisecond
	}
	p := router.Packet{Caller: from, Address: orders, Cookie: v.Cookie, Sequence: 1, Acknowledged: 1}
	f.after(4*time.Millisecond, func() {
		p.Length = 400
		r.Route(f.now, p)
		p.Sequence, p.Length = 401, 0
		for _, part := range []uint32{2, 1} {
			f.after(4*time.Millisecond+work+time.Duration(2-part)*time.Millisecond, func() {
				p.Acknowledged = 1 + size/part
				p.Finish = part == 1
				r.Route(f.now, p)
			})
		}
	})
}

func (f *unevenFleet) rejectedSince(second int) int {
	sum := 0
	for s, n := range f.rejected {
		if s >= second {
			sum += n
		}
	}
	return sum
}

func firstQuarter(incarnation uint64) float64 {
	if incarnation <= unevenUpstreams/4 {
		return 0.45
	}
	return 0
}

// A quarter of the upstreams rejects 45 % of its requests for 7 s while the health checks pass. Each of
// 33 balancers gets an answer of an upstream every two to three seconds and sends on, so that callers
// are rejected at a constant rate. After the end, the upstreams must get their flows back.
func TestUnevenUpstreamsGetFewFlows(t *testing.T) {
	for seed := range uint64(3) {
		var rejected [2]int
		for n, verdicts := range []bool{false, true} {
			f := newUnevenFleet(t, seed, verdicts)
			f.run(5 * time.Second)
			f.rejects = firstQuarter
			f.run(7 * time.Second)
			rejected[n] = f.rejectedSince(5 + 2)
			perSecond := []int{}
			for s := 5; s < 12; s++ {
				perSecond = append(perSecond, f.rejected[s])
			}
			f.rejects = func(uint64) float64 { return 0 }
			f.run(5 * time.Second)
			clear(f.flows)
			f.run(2 * time.Second)
			flows, all := 0, 0
			for incarnation, n := range f.flows {
				all += n
				if incarnation <= unevenUpstreams/4 {
					flows += n
				}
			}
			t.Logf("seed %d, verdicts %v: rejected in each second %v, at most %d reduced, share of flows from 5 s after the end %.3f",
				seed, verdicts, perSecond, f.reduced, float64(flows)/float64(all))
			require.InDelta(t, 0.25, float64(flows)/float64(all), 0.03)
		}
		require.LessOrEqual(t, 3*rejected[1], rejected[0])
	}
}

// Answers of a service differ in size by an order of magnitude, or some requests of a class have short
// answers: that is no fault of an upstream.
func TestOrdinaryAnswersReduceNothing(t *testing.T) {
	for _, short := range []float64{0, 0.02, 0.3} {
		f := newUnevenFleet(t, 11, true)
		f.naturallyShort = short
		f.run(20 * time.Second)
		require.LessOrEqual(t, f.reduced, 1, short)
	}
}

// In a burst all upstreams reject. If some were avoided, the others would reject more.
func TestBurstReducesNothing(t *testing.T) {
	f := newUnevenFleet(t, 12, true)
	f.run(5 * time.Second)
	f.rejects = func(uint64) float64 { return 0.6 }
	f.run(6 * time.Second)
	require.LessOrEqual(t, f.reduced, 2)
}

// measured returns a router that knows the size of ordinary answers, 8,000 bytes in 30 ms.
func measured(t require.TestingT) (*router.Router, time.Time) {
	r := router.New(router.Settings{Zone: "a", MeasureAnswers: true})
	require.NoError(t, r.Configure(configured(1)))
	r.SetTargets(epoch.Add(-time.Minute), []view.Target{target(1, "orders", "a"), target(2, "orders", "a"), target(3, "orders", "a")})
	now := epoch
	for n := range 40 {
		now = exchange(r, now, 10_000+n, 8000, 30*time.Millisecond)
	}
	r.Answers(now.Add(-time.Millisecond))
	return r, now
}

func openFlow(r *router.Router, now time.Time, n int) router.Packet {
	v := r.Route(now, opening(n))
	p := router.Packet{Caller: caller(n), Address: orders, Cookie: v.Cookie, Sequence: 1, Acknowledged: 1}
	r.Route(now.Add(time.Millisecond), p)
	return p
}

// exchange opens a flow, gets an answer and closes the flow.
func exchange(r *router.Router, now time.Time, n int, size uint32, work time.Duration) time.Time {
	p := openFlow(r, now, n)
	p.Length = 400
	r.Route(now.Add(time.Millisecond), p)
	p.Sequence, p.Length, p.Acknowledged, p.Finish = 401, 0, 1+size, true
	now = now.Add(work + time.Millisecond)
	r.Route(now, p)
	return now
}

// counted returns the counts of all upstreams.
func counted(r *router.Router, now time.Time) (total, short uint32) {
	for _, a := range r.Answers(now) {
		total, short = total+a.Total, short+a.Short
	}
	return total, short
}

// A balancer sees only the acknowledgments of an answer. Taken at the wrong time, the size of an
// ordinary answer is that of its first packet, and looks like a rejection.
func TestSizeOfAnAnswerIsTakenAtItsEnd(t *testing.T) {
	const later = time.Second
	for _, c := range []struct {
		name string
		// play sends packets of an open flow, whose first request has been sent.
		play         func(r *router.Router, now time.Time, p router.Packet)
		total, short uint32
	}{
		{"one flow, one step", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged, p.Finish = 8001, true
			r.Route(now.Add(30*time.Millisecond), p)
		}, 1, 0},
		{"several steps", func(r *router.Router, now time.Time, p router.Packet) {
			for part := range uint32(8) {
				p.Acknowledged, p.Finish = 1+1000*(part+1), part == 7
				r.Route(now.Add(time.Duration(2+4*part)*time.Millisecond), p)
			}
		}, 1, 0},
		{"rejected, closed after the answer", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged = 151
			r.Route(now.Add(3*time.Millisecond), p)
			p.Finish = true
			r.Route(now.Add(4*time.Millisecond), p)
		}, 1, 1},
		{"rejected, next request on the flow", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged = 151
			r.Route(now.Add(3*time.Millisecond), p)
			p.Length = 400
			r.Route(now.Add(900*time.Millisecond), p)
			p.Sequence, p.Length, p.Acknowledged = p.Sequence+400, 0, 8151
			r.Route(now.Add(930*time.Millisecond), p)
			p.Length = 400
			r.Route(now.Add(940*time.Millisecond), p)
		}, 2, 1},
		{"next request acknowledges the answer", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged, p.Length = 8001, 400
			r.Route(now.Add(30*time.Millisecond), p)
		}, 1, 0},
		{"quiet after a whole answer", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged = 8001
			r.Route(now.Add(30*time.Millisecond), p)
			r.Tick(now.Add(later))
		}, 1, 0},
		{"cut off, then quiet", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged = 501
			r.Route(now.Add(3*time.Millisecond), p)
			r.Tick(now.Add(later))
		}, 0, 0},
		{"cut off, closed by the caller's timeout", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged = 501
			r.Route(now.Add(3*time.Millisecond), p)
			p.Finish = true
			r.Route(now.Add(later), p)
		}, 0, 0},
		{"cut off by a reset", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged = 501
			r.Route(now.Add(3*time.Millisecond), p)
			p.Reset = true
			r.Route(now.Add(4*time.Millisecond), p)
		}, 0, 0},
		{"request retransmitted while the answer comes", func(r *router.Router, now time.Time, p router.Packet) {
			p.Acknowledged = 501
			r.Route(now.Add(3*time.Millisecond), p)
			again := p
			again.Sequence, again.Length = 1, 400
			r.Route(now.Add(4*time.Millisecond), again)
			p.Acknowledged, p.Finish = 8001, true
			r.Route(now.Add(30*time.Millisecond), p)
		}, 1, 0},
		{"no answer", func(r *router.Router, now time.Time, p router.Packet) {
			p.Finish = true
			r.Route(now.Add(30*time.Millisecond), p)
		}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, now := measured(t)
			now = exchange(r, now, 20_000, 150, 2*time.Millisecond) // counts are reported after a short answer
			total, _ := counted(r, now.Add(time.Second))
			require.Positive(t, total)
			now = now.Add(time.Second)
			p := openFlow(r, now, 1)
			p.Length = 400
			r.Route(now, p)
			p.Sequence, p.Length = 401, 0
			c.play(r, now, p)
			total, short := counted(r, now.Add(2*time.Second))
			require.Equal(t, []uint32{c.total, c.short}, []uint32{total, short})
		})
	}
}

// Without short answers no counts are sent, so that the reports cost nothing in ordinary service.
func TestNothingIsReportedWithoutShortAnswers(t *testing.T) {
	r, now := measured(t)
	for n := range 20 {
		now = exchange(r, now, n, 8000, 30*time.Millisecond)
		require.Empty(t, r.Answers(now.Add(time.Duration(n)*time.Second)))
	}
}

// With hundreds of upstreams in use, a report of all would fill a narrow link.
func TestReportsAreBounded(t *testing.T) {
	f := newUnevenFleet(t, 13, true)
	f.rejects = firstQuarter
	r := f.routers[0]
	f.routers = f.routers[:1]
	for range 40 {
		f.run(50 * time.Millisecond)
		for _, a := range r.Answers(f.now) {
			n := 0
			for _, z := range a.Zones {
				n += len(z.Counts)
			}
			require.LessOrEqual(t, n, 32)
		}
	}
}

// Verdicts of voters that know different parts of the fleet, or of a voter that errs, must leave two
// thirds of a zone's slots at full weight, and a new flow prefers these.
func TestReducedUpstreamsAreBoundedAndAvoided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "upstreams")
		var all []view.Target
		for i := range n {
			all = append(all, target(uint64(i+1), "orders", "a"))
		}
		r := newRouter(t, all...)
		var found []evidence.Reduced
		for i := range n {
			if rapid.Bool().Draw(t, "found") {
				found = append(found, evidence.Reduced{Cookie: router.Cookie(uint64(i+1), 0), Halvings: uint8(rapid.IntRange(0, 255).Draw(t, "halvings"))})
			}
		}
		reduced := map[uint64]bool{}
		for _, c := range r.SetReduced(found) {
			require.LessOrEqual(t, c.Halvings, uint8(4))
			reduced[c.Incarnation] = true
		}
		require.LessOrEqual(t, 3*len(reduced), n)
		require.Equal(t, len(reduced), r.Reduced())
		avoided := 0
		for i := range 3 * n {
			v := r.Route(epoch, opening(i))
			require.Equal(t, router.Forward, v.Action)
			r.Route(epoch, router.Packet{Caller: caller(i), Address: orders, Cookie: v.Cookie, Finish: true})
			if !reduced[v.Incarnation] {
				avoided++
			}
		}
		// Each reduced upstream gets at most one trial in two of its turns.
		require.GreaterOrEqual(t, avoided, 3*n-2*len(reduced))
		require.Len(t, r.SetReduced(nil), len(reduced))
		require.Zero(t, r.Reduced())
	})
}

// Upstreams of one rack stand side by side in the list, and all of them reject. A sample of eight then
// holds reduced upstreams only, and flows would leave the zone though others there are idle.
func TestIdleUpstreamOfTheZoneIsPreferred(t *testing.T) {
	var all []view.Target
	var found []evidence.Reduced
	for n := range uint64(60) {
		all = append(all, target(n+1, "orders", "a"))
		if n < 20 {
			found = append(found, evidence.Reduced{Cookie: router.Cookie(n+1, 0), Halvings: 2})
		}
	}
	r := newRouter(t, append(all, target(61, "orders", "b"))...)
	require.Len(t, r.SetReduced(found), 20)
	trials := 0
	for n := range 600 {
		v := r.Route(epoch, opening(n))
		r.Route(epoch, router.Packet{Caller: caller(n), Address: orders, Cookie: v.Cookie, Finish: true})
		require.NotEqual(t, uint64(61), v.Incarnation)
		if v.Incarnation <= 20 {
			trials++
		}
	}
	require.InDelta(t, 600/3/4, trials, 20, "a quarter of the turns of a third of the upstreams")
}

// The weight belongs to an instance. A restarted upstream that kept it would wait for its recovery
// without a fault.
func TestRestartedUpstreamHasFullWeight(t *testing.T) {
	all := []view.Target{target(1, "orders", "a"), target(2, "orders", "a"), target(3, "orders", "a")}
	r := newRouter(t, all...)
	found := []evidence.Reduced{{Cookie: router.Cookie(1, 0), Halvings: 2}}
	require.Len(t, r.SetReduced(found), 1)
	all[0].Born = 5
	r.SetTargets(epoch, all)
	r.SetReduced(found)
	require.Zero(t, r.Reduced())
}

// If other upstreams may not be used, a reduced one is better than none.
func TestReducedUpstreamIsUsedIfNoOtherMayBe(t *testing.T) {
	all := []view.Target{target(1, "orders", "a"), target(2, "orders", "a"), target(3, "orders", "a")}
	r := newRouter(t, all...)
	r.SetReduced([]evidence.Reduced{{Cookie: router.Cookie(1, 0), Halvings: 4}})
	all[1].Ended, all[2].Ended = true, true
	r.SetTargets(epoch, all)
	require.Equal(t, uint64(1), r.Route(epoch, opening(1)).Incarnation)
}

// BenchmarkRequestMeasured forwards a request and the acknowledgment of its answer, with and without
// counts of short answers.
func BenchmarkRequestMeasured(b *testing.B) {
	for _, measure := range []bool{false, true} {
		b.Run(fmt.Sprint(measure), func(b *testing.B) {
			r := router.New(router.Settings{Zone: "a", MeasureAnswers: measure})
			require.NoError(b, r.Configure(configured(1)))
			r.SetTargets(epoch.Add(-time.Minute), []view.Target{target(1, "orders", "a"), target(2, "orders", "a"), target(3, "orders", "a")})
			packets := make([]router.Packet, 1024)
			for n := range packets {
				v := r.Route(epoch, opening(n))
				packets[n] = router.Packet{Caller: caller(n), Address: orders, Cookie: v.Cookie}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now := epoch.Add(time.Duration(n) * time.Millisecond)
				p := &packets[n%len(packets)]
				p.Length = 100
				r.Route(now, *p)
				p.Sequence += 100
				p.Acknowledged += 100
				p.Length = 0
				r.Route(now, *p)
				if n%100 == 0 {
					r.Tick(now)
					r.Answers(now)
				}
			}
		})
	}
}

// BenchmarkOpeningReduced is BenchmarkOpening with a third of the upstreams at reduced weight.
func BenchmarkOpeningReduced(b *testing.B) {
	for _, n := range []int{14, 3000} {
		for _, reduced := range []int{0, 1} {
			b.Run(fmt.Sprint(n, "/", reduced), func(b *testing.B) {
				r := newRouter(b, targetsInZones(n)...)
				var found []evidence.Reduced
				for i := range reduced * min(n, 384) / 3 {
					found = append(found, evidence.Reduced{Cookie: router.Cookie(uint64(i+1), 0), Halvings: 2})
				}
				r.SetReduced(found)
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					now := epoch.Add(time.Duration(n) * time.Millisecond)
					r.Route(now, opening(n&0x7fff))
					if n%100 == 0 {
						r.Tick(now)
					}
				}
			})
		}
	}
}
