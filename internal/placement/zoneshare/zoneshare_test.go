package zoneshare_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/placement/zoneshare"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Parameters of the replay: a view is viewAge old, and shares follow it every shareInterval.
const (
	replayStep    = 5 * time.Millisecond
	shareInterval = 50 * time.Millisecond
	viewAge       = 250 * time.Millisecond
	// work is the time for which a request occupies a slot.
	work = 50 * time.Millisecond
	// openFlowLife is the mean life of a flow that stays open between requests.
	openFlowLife = 4 * time.Second
	// maxPerSlot is the number of requests for each slot beyond which others are rejected, as
	// by concurrency.SharedSlots.
	maxPerSlot = 3
)

// replayZone is a zone of the replay. All figures are slots, by the zone of the upstreams.
type replayZone struct {
	name  string
	slots float64
	// offered returns the slots that the zone's callers need at a time.
	offered func(time.Duration) float64
	// open is the need of the flows that stay open; inFlight is the number of requests that
	// occupy a slot or wait for one.
	open, inFlight map[string]float64
	shares         zoneshare.Shares
}

// replay is a fluid model of the requests of several zones.
type replay struct {
	at    time.Duration
	zones []*replayZone
	// openPart is the part of new load that comes from flows that stay open for openFlowLife.
	openPart float64
	// views are the past states, one for each replayStep.
	views [][]zoneshare.Zone
	// disabled keeps all flows in their zone.
	disabled bool
	// random, if set, loses a third of the views of each zone, and delivers others up to 150 ms
	// late and in another order.
	random *rand.Rand
}

func steady(slots float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return slots }
}

// burst returns a load that is raised by a factor between two times.
func burst(slots, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return slots * factor
		}
		return slots
	}
}

func newReplay(openPart, slots float64, offered ...func(time.Duration) float64) *replay {
	r := &replay{openPart: openPart}
	for i, f := range offered {
		name := string(rune('a' + i))
		r.zones = append(r.zones, &replayZone{
			name: name, slots: slots, offered: f,
			open: map[string]float64{name: openPart * f(0)}, inFlight: map[string]float64{name: f(0)},
		})
	}
	return r
}

// view returns the present state, sorted by name.
func (r *replay) view() []zoneshare.Zone {
	var out []zoneshare.Zone
	for _, z := range r.zones {
		v := zoneshare.Zone{Name: z.name, Local: z.inFlight[z.name], Slots: z.slots}
		for _, n := range z.inFlight {
			v.Demand += n
		}
		out = append(out, v)
	}
	return out
}

// offeredTo returns the need of the requests that are sent to a zone now, as a part of its slots.
func (r *replay) offeredTo(to *replayZone) float64 {
	sum := 0.0
	for _, z := range r.zones {
		sum += r.sent(z, to)
	}
	return sum / to.slots
}

// newLoad returns the need of a zone's flows that open and end at once. The need of open flows,
// wherever they are, is met first.
func (r *replay) newLoad(z *replayZone) float64 { return (1 - r.openPart) * z.offered(r.at) }

func (r *replay) share(from, to *replayZone) float64 {
	switch {
	case from != to:
		return from.shares.Share(zoneshare.Short, to.name)
	default:
		return 1 - from.shares.Leaving(zoneshare.Short)
	}
}

func (r *replay) sent(from, to *replayZone) float64 {
	return r.newLoad(from)*r.share(from, to) + from.open[to.name]
}

// used returns the requests in flight at a zone's upstreams, as a part of its slots.
func (r *replay) used(at *replayZone) float64 {
	sum := 0.0
	for _, z := range r.zones {
		sum += z.inFlight[at.name]
	}
	return sum / at.slots
}

// advance plays one step.
func (r *replay) advance() {
	r.views = append(r.views, r.view())
	if !r.disabled && r.at%shareInterval == 0 {
		for _, z := range r.zones {
			r.update(z)
		}
	}
	for _, to := range r.zones {
		used := r.used(to)
		served := replayStep.Seconds() / work.Seconds() * min(1, 1/max(used, 1e-9))
		room := max(0, maxPerSlot-used)*to.slots + served*used*to.slots
		arriving := 0.0
		for _, from := range r.zones {
			arriving += r.sent(from, to) * replayStep.Seconds() / work.Seconds()
		}
		admitted := min(1, room/max(arriving, 1e-9))
		for _, from := range r.zones {
			n := from.inFlight[to.name]
			from.inFlight[to.name] = n - n*served + admitted*r.sent(from, to)*replayStep.Seconds()/work.Seconds()
		}
	}
	for _, from := range r.zones {
		for _, to := range r.zones {
			opened := r.openPart * from.offered(r.at) * r.share(from, to)
			from.open[to.name] += (opened - from.open[to.name]) * replayStep.Seconds() / openFlowLife.Seconds()
		}
	}
	r.at += replayStep
}

// update gives a zone the view that is viewAge old.
func (r *replay) update(z *replayZone) {
	age := viewAge
	if r.random != nil {
		if r.random.IntN(3) == 0 {
			return
		}
		age += time.Duration(r.random.Int64N(int64(150 * time.Millisecond)))
	}
	if i := len(r.views) - 1 - int(age/replayStep); i >= 0 {
		z.shares.Update(epoch.Add(r.at), z.name, r.views[i])
	}
}

// swing returns the difference of the largest and the least value.
func swing(values []float64) float64 { return slices.Max(values) - slices.Min(values) }

const (
	burstFrom = 2 * time.Second
	burstTo   = 8 * time.Second
	settled   = 1500 * time.Millisecond
)

// outcome is the replay of a burst in zone a.
type outcome struct {
	// used and others hold the use of the slots of zone a and of the fuller other zone, and leaving
	// the share of the new flows that leave zone a, from settled after the start of the burst to its
	// end. peak is the largest use of the fuller other zone at any time.
	used, others, leaving []float64
	peak                  float64
	// after is the share that leaves once settled has passed after the burst.
	after float64
	// level is the use of all slots by the load that callers offer.
	level float64
}

func play(r *replay) outcome {
	var o outcome
	for r.at < burstTo+5*time.Second {
		r.advance()
		other := max(r.offeredTo(r.zones[1]), r.offeredTo(r.zones[2]))
		o.peak = max(o.peak, other)
		if r.at > burstFrom+settled && r.at < burstTo {
			o.used = append(o.used, r.offeredTo(r.zones[0]))
			o.others = append(o.others, other)
			o.leaving = append(o.leaving, r.zones[0].shares.Leaving(zoneshare.Short))
		}
		if r.at == burstTo+settled {
			o.after = r.zones[0].shares.Leaving(zoneshare.Short)
		}
		if r.at == burstFrom+settled {
			for _, z := range r.zones {
				o.level += z.offered(r.at) / (3 * z.slots)
			}
		}
	}
	return o
}

// One zone has 2.4 times its load for 6 s, two others use a third of their slots. Without shares the
// flows stay, and the zone's upstreams get 1.2 times the requests that they can serve.
func TestBurstOfOneZoneUsesFreeCapacityOfOthers(t *testing.T) {
	for _, c := range []struct {
		name string
		// usual is the part of the zone's slots that it uses before the burst.
		usual, openPart float64
	}{
		{"a flow for each request", 0.5, 0},
		{"a third of the load on open flows", 0.5, 0.33},
		{"1.56 times the slots", 0.65, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			build := func() *replay {
				return newReplay(c.openPart, 80, burst(80*c.usual, 2.4, burstFrom, burstTo), steady(80.0/3), steady(80.0/3))
			}
			without := build()
			without.disabled = true
			require.Greater(t, slices.Max(play(without).used), 0.7+0.1, "the replay must show the failure")
			o := play(build())
			t.Logf("level %.2f, use %.2f to %.2f, others at most %.2f, peak %.2f, share %.2f to %.2f, %.2f after",
				o.level, slices.Min(o.used), slices.Max(o.used), slices.Max(o.others), o.peak, slices.Min(o.leaving), slices.Max(o.leaving), o.after)
			require.LessOrEqual(t, slices.Max(o.used), max(0.7, o.level)+0.1)
			require.LessOrEqual(t, slices.Max(o.others), max(0.6, o.level)+0.1, "the receiving zones are not overloaded instead")
			require.Less(t, swing(o.leaving), 0.2)
			require.Less(t, swing(o.leaving[len(o.leaving)/2:]), 0.05, "the shares settle")
			require.Zero(t, o.after)
		})
	}
}

// updateSteadily applies the same view until the shares no longer change.
func updateSteadily(s *zoneshare.Shares, from time.Time, own string, zones []zoneshare.Zone) {
	for i := range 100 {
		s.Update(from.Add(time.Duration(i)*100*time.Millisecond), own, zones)
	}
}

// A balancer of a deployment with one zone must never look for a zone that it could send flows to.
func TestSingleZoneKeepsItsFlows(t *testing.T) {
	var s zoneshare.Shares
	updateSteadily(&s, epoch, "a", []zoneshare.Zone{{Name: "a", Demand: 300, Local: 300, Slots: 80}})
	require.True(t, s.Empty())
	_, leaves := s.Choose(zoneshare.Short, 1)
	require.False(t, leaves)
}

// Uploads and downloads would fill the links between zones if they left as early as short requests.
func TestBulkFlowsStayWhileSlotsSuffice(t *testing.T) {
	other := zoneshare.Zone{Name: "b", Slots: 80}
	var s zoneshare.Shares
	updateSteadily(&s, epoch, "a", []zoneshare.Zone{{Name: "a", Demand: 79, Local: 79, Slots: 80}, other})
	require.Greater(t, s.Leaving(zoneshare.Short), 0.2)
	require.Zero(t, s.Leaving(zoneshare.Bulk))
	updateSteadily(&s, epoch.Add(20*time.Second), "a", []zoneshare.Zone{{Name: "a", Demand: 100, Local: 80, Slots: 80}, other})
	require.InDelta(t, 0.2, s.Leaving(zoneshare.Bulk), 0.01)
	require.InDelta(t, 0.44+0.5*24/56, s.Leaving(zoneshare.Short), 0.01)
}

// An abrupt change of shares makes all zones send to the zone that looked empty.
func TestSharesFollowWithTimeConstant(t *testing.T) {
	zones := []zoneshare.Zone{{Name: "a", Demand: 80, Local: 56, Slots: 80}, {Name: "b", Slots: 80}}
	var s zoneshare.Shares
	s.Update(epoch, "a", zones)
	require.True(t, s.Empty(), "the first view changes nothing")
	for i := range 10 {
		s.Update(epoch.Add(time.Duration(i+1)*50*time.Millisecond), "a", zones)
	}
	require.InDelta(t, 0.3*0.632, s.Leaving(zoneshare.Short), 0.005)
	s.Update(epoch.Add(900*time.Millisecond), "a", zones)
	require.Less(t, s.Leaving(zoneshare.Short), 0.3*0.76, "a late update changes no more than one of 200 ms")
	s.Update(epoch.Add(2*time.Second), "a", zones)
	require.True(t, s.Empty(), "after a pause, shares start from 0")
}

// Balancers apply shares to the flows that they get. A biased hash would send more or fewer.
func TestFlowsFollowShares(t *testing.T) {
	var s zoneshare.Shares
	updateSteadily(&s, epoch, "a", []zoneshare.Zone{
		{Name: "a", Demand: 100, Local: 56, Slots: 80}, {Name: "b", Demand: 8, Slots: 80}, {Name: "c", Demand: 24, Slots: 80},
	})
	const flows = 100_000
	counts := map[string]float64{}
	for i := range uint64(flows) {
		// The remainder by 100 selects the backend of a split route.
		hash := i * 100
		zone, _ := s.Choose(zoneshare.Short, hash)
		again, _ := s.Choose(zoneshare.Short, hash)
		require.Equal(t, zone, again)
		counts[zone]++
	}
	for _, zone := range []string{"b", "c"} {
		require.InDelta(t, s.Share(zoneshare.Short, zone), counts[zone]/flows, 0.01)
	}
	require.InDelta(t, 0.44, s.Leaving(zoneshare.Short), 0.001)
	require.InDelta(t, 40.0/24, counts["b"]/counts["c"], 0.1, "by free capacity")
}

// drawZones draws the load of some zones, sorted by name. Zones may have no slots, and some are
// missing, as evacuated and stale ones are.
func drawZones(t *rapid.T) []zoneshare.Zone {
	var out []zoneshare.Zone
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		if !rapid.Bool().Draw(t, name) {
			continue
		}
		z := zoneshare.Zone{Name: name, Demand: rapid.Float64Range(0, 500).Draw(t, "demand"), Slots: float64(rapid.IntRange(0, 200).Draw(t, "slots"))}
		z.Local = z.Demand * rapid.Float64Range(0, 1).Draw(t, "local")
		out = append(out, z)
	}
	return out
}

var classes = []zoneshare.Class{zoneshare.Short, zoneshare.Bulk}

// Views are lost, arrive late or in another order, and zones disappear from them. Flows must not go
// to a zone without known slots, and no more flows than there are may leave.
func TestSharesAreValidAfterAnyViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s zoneshare.Shares
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 1500).Draw(t, "pause")) * time.Millisecond)
			zones := drawZones(t)
			s.Update(now, "a", zones)
			known := map[string]bool{}
			ownKnown := false
			for _, z := range zones {
				known[z.Name] = z.Slots > 0 && z.Name != "a"
				ownKnown = ownKnown || z.Name == "a"
			}
			for _, c := range classes {
				sum := 0.0
				for _, name := range []string{"a", "b", "c", "d", "e"} {
					x := s.Share(c, name)
					require.True(t, x >= 0 && x <= 1, "share %v", x)
					if !known[name] || !ownKnown {
						require.Zero(t, x, name)
					}
					sum += x
				}
				require.LessOrEqual(t, sum, 1+1e-9)
				require.InDelta(t, sum, s.Leaving(c), 1e-9)
				for hash := range uint64(50) {
					if zone, leaves := s.Choose(c, hash); leaves {
						require.True(t, known[zone], zone)
					}
				}
			}
		}
	})
}

// A zone below its threshold that sent flows away would load links between zones for nothing.
func TestNothingLeavesBelowThreshold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s zoneshare.Shares
		now := epoch
		for range rapid.IntRange(0, 20).Draw(t, "updates before") {
			now = now.Add(100 * time.Millisecond)
			s.Update(now, "a", drawZones(t))
		}
		low := func() []zoneshare.Zone {
			zones := slices.DeleteFunc(drawZones(t), func(z zoneshare.Zone) bool { return z.Name == "a" })
			slots := float64(rapid.IntRange(1, 200).Draw(t, "own slots"))
			own := zoneshare.Zone{Name: "a", Slots: slots, Demand: slots * rapid.Float64Range(0, 0.7).Draw(t, "own use")}
			own.Local = own.Demand
			return append([]zoneshare.Zone{own}, zones...)
		}
		before := s.Leaving(zoneshare.Short)
		for range 25 {
			now = now.Add(50 * time.Millisecond)
			s.Update(now, "a", low())
			require.LessOrEqual(t, s.Leaving(zoneshare.Short), before)
			before = s.Leaving(zoneshare.Short)
		}
		require.True(t, s.Empty(), "1.25 s after the first view of the lower load")
	})
}

// The router skips Update for a zone that may not send. A zone that would send all the same would
// keep its overload.
func TestOnlyZonesThatMaySendHaveShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, z := range drawZones(t) {
			var s zoneshare.Shares
			updateSteadily(&s, epoch, z.Name, append([]zoneshare.Zone{z}, zoneshare.Zone{Name: "z", Slots: 500}))
			require.Equal(t, z.MaySend(), !s.Empty(), z)
		}
	})
}

// In a steady state, zones that exchange load would use links between zones for nothing, and a
// receiving zone with more than its free capacity would have to send flows itself.
func TestSteadySharesFitFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t)
		demand, slots := 0.0, 0.0
		for _, z := range zones {
			demand, slots = demand+z.Demand, slots+z.Slots
		}
		level := demand / max(slots, 1)
		for i, z := range zones {
			// What leaves has left already, so the term for open flows is 0.
			zones[i].Local = min(z.Demand, max(0.7, level)*z.Slots)
		}
		all := map[string]*zoneshare.Shares{}
		for _, z := range zones {
			all[z.Name] = &zoneshare.Shares{}
			updateSteadily(all[z.Name], epoch, z.Name, zones)
		}
		for _, to := range zones {
			received := 0.0
			for _, from := range zones {
				x := all[from.Name].Share(zoneshare.Short, to.Name)
				received += x * from.Demand
				require.LessOrEqual(t, all[from.Name].Share(zoneshare.Bulk, to.Name), x+1e-9)
				if x > 0 {
					require.True(t, all[to.Name].Empty(), "%s sends to %s, which sends", from.Name, to.Name)
				}
			}
			require.LessOrEqual(t, received, max(0, max(0.6, level)*to.Slots-to.Demand)+1e-6)
		}
	})
}

// Zones with random loads send to each other on views that are lost, late and reordered. Shares
// that react too fast would oscillate, and zones would overload each other in turn.
func TestSharesSettleUnderRandomLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offered []func(time.Duration) float64
		sum := 0.0
		count := rapid.IntRange(2, 5).Draw(t, "zones")
		for range count {
			base := rapid.Float64Range(0, 110).Draw(t, "offered")
			sum += base
			offered = append(offered, burst(base, rapid.Float64Range(0, 1).Draw(t, "before"), 0, 3*time.Second))
		}
		if sum > 0.95*80*float64(count) {
			t.Skip("no shares help if all slots do not suffice")
		}
		r := newReplay(rapid.Float64Range(0, 0.3).Draw(t, "open part"), 80, offered...)
		r.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		leaving := make([][]float64, count)
		for r.at < 15*time.Second {
			r.advance()
			if r.at > 12*time.Second {
				for i, z := range r.zones {
					leaving[i] = append(leaving[i], z.shares.Leaving(zoneshare.Short))
				}
			}
		}
		level := sum / (80 * float64(count))
		for i, z := range r.zones {
			require.LessOrEqual(t, r.offeredTo(z), max(0.7, level)+0.1, z.name)
			require.Less(t, swing(leaving[i]), 0.1, z.name)
			if leaving[i][0] < 0.05 {
				continue
			}
			for _, to := range r.zones {
				require.False(t, z.shares.Share(zoneshare.Short, to.name) > 0.05 && to.shares.Share(zoneshare.Short, z.name) > 0.05, "%s and %s exchange flows", z.name, to.name)
			}
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	var s zoneshare.Shares
	updateSteadily(&s, epoch, "a", []zoneshare.Zone{{Name: "a", Demand: 100, Local: 56, Slots: 80}, {Name: "b", Slots: 80}, {Name: "c", Slots: 80}})
	b.ReportAllocs()
	for n := uint64(0); b.Loop(); n++ {
		s.Choose(zoneshare.Short, n)
	}
}

// BenchmarkUpdate measures one update with 18 zones.
func BenchmarkUpdate(b *testing.B) {
	var zones []zoneshare.Zone
	for i := range 18 {
		zones = append(zones, zoneshare.Zone{Name: string(rune('a' + i)), Demand: float64(90 - 5*i), Local: 50, Slots: 80})
	}
	var s zoneshare.Shares
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		s.Update(epoch.Add(time.Duration(n)*50*time.Millisecond), "a", zones)
	}
}
