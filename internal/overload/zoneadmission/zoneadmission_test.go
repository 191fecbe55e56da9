package zoneadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/overload/zoneadmission"
)

func TestLimits(t *testing.T) {
	const work = 20 * time.Millisecond
	for _, c := range []struct {
		name  string
		flow  zoneadmission.Flow
		limit float64
	}{
		{"a quarter of the objective", zoneadmission.Flow{Objective: 5 * work, Work: work}, 2.25},
		{"half of an urgent objective", zoneadmission.Flow{Objective: 5 * work, Work: work, Urgent: true}, 3.5},
		{"short objective", zoneadmission.Flow{Objective: work, Work: work}, 1.5},
		{"short urgent objective", zoneadmission.Flow{Objective: work, Work: work, Urgent: true}, 2},
		{"long objective", zoneadmission.Flow{Objective: time.Second, Work: work}, 3},
		{"long urgent objective", zoneadmission.Flow{Objective: time.Second, Work: work, Urgent: true}, 5},
		{"no objective", zoneadmission.Flow{Work: work}, 3},
		{"unknown work", zoneadmission.Flow{Objective: work, Urgent: true}, 5},
		{"longer objective than urgent flows", zoneadmission.Flow{Objective: time.Second, Work: work, UrgentObjective: 3 * work}, 2},
	} {
		d := zoneadmission.Decide(zoneadmission.Load{Occupied: 100, Slots: 100}, c.flow)
		require.InDelta(t, c.limit, d.Limit, 1e-9, c.name)
		require.True(t, d.Admitted, c.name)
	}
}

func drawLoad(t *rapid.T) zoneadmission.Load {
	occupied := rapid.Float64Range(0, 5000).Draw(t, "occupied")
	return zoneadmission.Load{
		Occupied: occupied, Slots: rapid.Float64Range(1, 5000).Draw(t, "slots"), Elsewhere: rapid.Float64Range(0, occupied).Draw(t, "elsewhere"),
		InFlightThen: rapid.Float64Range(0, 500).Draw(t, "then"), InFlight: rapid.Float64Range(0, 500).Draw(t, "now"),
	}
}

func drawDuration(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, name))
}

// Guards against rejections while half of the slots are free, and against urgent flows that are
// rejected while ordinary ones are admitted: both tiers with any objectives, at any load.
func TestUrgentFlowsAreRejectedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load, work, urgentObjective := drawLoad(t), drawDuration(t, "work"), drawDuration(t, "urgent objective")
		urgent := zoneadmission.Decide(load, zoneadmission.Flow{
			Objective: urgentObjective, UrgentObjective: urgentObjective, Work: work, Urgent: true, Number: rapid.Uint64().Draw(t, "urgent flow"),
		})
		ordinary := zoneadmission.Decide(load, zoneadmission.Flow{
			Objective: drawDuration(t, "objective"), UrgentObjective: urgentObjective, Work: work, Number: rapid.Uint64().Draw(t, "ordinary flow"),
		})
		if urgent.RejectedShare > 0 {
			require.Equal(t, 1.0, ordinary.RejectedShare)
			require.False(t, ordinary.Admitted)
		}
		for _, d := range []zoneadmission.Decision{urgent, ordinary} {
			if d.Use < 1.2 {
				require.True(t, d.Admitted, "slots are free or no queue has formed")
			}
			if !d.Admitted {
				require.Positive(t, d.RejectedShare)
				require.LessOrEqual(t, d.Limit, 5.0)
				require.GreaterOrEqual(t, d.Limit, 1.5)
			}
		}
	})
}

// Guards against a growth that outweighs the view, and against one that scales the load by callers of
// other zones while these have room: a balancer's few requests must neither hide a load nor invent one.
// The bounds are compared up to the rounding of a few operations.
func TestUseStaysNearTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := drawLoad(t)
		own, elsewhere := (load.Occupied-load.Elsewhere)/load.Slots, load.Elsewhere/load.Slots
		if load.Measured() >= 0.8 {
			own, elsewhere = load.Measured(), 0
		}
		rounding := 1e-14 * load.Measured()
		require.GreaterOrEqual(t, load.Use(), 0.5*own+elsewhere-rounding)
		require.LessOrEqual(t, load.Use(), 3*own+elsewhere+rounding)
		more := load
		more.InFlight++
		require.GreaterOrEqual(t, more.Use(), load.Use())
	})
}

// A burst at the balancers of one zone counted as one in all zones: their requests in flight had tripled,
// and with them the assumed load of all callers, so that they rejected flows while slots were free.
func TestBurstOfOneZoneDoesNotScaleTheOthers(t *testing.T) {
	ordinary := zoneadmission.Flow{Objective: 100 * time.Millisecond, Work: 20 * time.Millisecond}
	burst := zoneadmission.Load{Occupied: 150, Elsewhere: 120, Slots: 240, InFlightThen: 4, InFlight: 20}
	require.InDelta(t, (3*30.0+120)/240, burst.Use(), 1e-9, "0.875: there is room for the burst")
	// No hash is rejected, also not the first one that a rejected share would apply to.
	d := zoneadmission.Decide(burst, ordinary)
	require.True(t, d.Admitted)
	require.Zero(t, d.RejectedShare)
	everywhere := burst
	everywhere.Elsewhere = 0
	d = zoneadmission.Decide(everywhere, ordinary)
	require.False(t, d.Admitted, "a burst of the callers of all zones is rejected")
	require.Positive(t, d.RejectedShare)
}

// Guards against a rejected share that differs from the one intended, for a caller wherever it is and
// for all callers, and against a choice that rejects the same caller again: the two ports of a caller
// are rejected as often as two callers are.
func TestRejectedShareAppliesToEachAttempt(t *testing.T) {
	// use gives the rejected share of a flow whose limit is 3.
	use := func(share float64) zoneadmission.Load {
		return zoneadmission.Load{Occupied: 2.4 + 0.6*share, Slots: 1}
	}
	rapid.Check(t, func(t *rapid.T) {
		load, address := use(rapid.Float64Range(0, 1).Draw(t, "share")), rapid.Uint32().Draw(t, "address")
		rejected, again, share := 0, 0, 0.0
		const ports = 8000
		last := false
		for port := range uint16(ports) {
			f := zoneadmission.Flow{Number: flowHash(address, port)}
			d := zoneadmission.Decide(load, f)
			require.Equal(t, d, zoneadmission.Decide(load, f), "a copy of the opening")
			share = d.RejectedShare
			if !d.Admitted {
				rejected++
				if last {
					again++
				}
			}
			last = !d.Admitted
		}
		require.InDelta(t, share, float64(rejected)/ports, 0.03)
		require.InDelta(t, share*share, float64(again)/ports, 0.04)
	})
	for _, share := range []float64{0.1, 0.5, 0.9} {
		rejected := 0
		const callers = 10_000
		for i := range callers {
			if !zoneadmission.Decide(use(share), zoneadmission.Flow{Number: flowHash(100<<24|64<<16|uint32(i), 40000)}).Admitted {
				rejected++
			}
		}
		require.InDelta(t, share, float64(rejected)/callers, 0.02)
	}
}

// Guards against flows that are rejected at a share of 0 or admitted at a share of 1, at the ends of
// the range of hashes.
func TestChoiceAtTheEndsOfTheRange(t *testing.T) {
	for _, number := range []uint64{0, 1<<48 - 1, 1 << 63, 1<<64 - 1} {
		f := zoneadmission.Flow{Number: number}
		require.True(t, zoneadmission.Decide(zoneadmission.Load{Occupied: 2.4, Slots: 1}, f).Admitted)
		require.False(t, zoneadmission.Decide(zoneadmission.Load{Occupied: 3.0001, Slots: 1}, f).Admitted)
	}
}

// Guards against a growth that compares the present with the wrong time: a constant number is its
// own mean at any time, and times before and after a step give the numbers before and after it.
func TestHistory(t *testing.T) {
	var h zoneadmission.History
	_, known := h.Mean(epoch)
	require.False(t, known)
	for i := range 100 {
		n := 4
		if i >= 50 {
			n = 12
		}
		h.Record(epoch.Add(time.Duration(i)*20*time.Millisecond), n)
	}
	step := epoch.Add(time.Second)
	for _, c := range []struct {
		after time.Duration
		mean  float64
	}{{0, 4}, {100 * time.Millisecond, 8}, {200 * time.Millisecond, 12}, {990 * time.Millisecond, 12}, {5 * time.Second, 12}} {
		mean, known := h.Mean(step.Add(c.after))
		require.True(t, known)
		require.InDelta(t, c.mean, mean, 0.001, "%v after the step", c.after)
	}
	_, known = h.Mean(epoch)
	require.False(t, known, "the first samples are overwritten")
}

// Guards against means outside of the recorded numbers, for samples and views at any times.
func TestHistoryMeanIsWithinItsSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h zoneadmission.History
		now, least, most := epoch, 1<<30, 0
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(20, 120).Draw(t, "interval")) * time.Millisecond)
			n := rapid.IntRange(0, 100).Draw(t, "in flight")
			least, most = min(least, n), max(most, n)
			h.Record(now, n)
		}
		age := time.Duration(rapid.IntRange(0, 1500).Draw(t, "age")) * time.Millisecond
		if mean, known := h.Mean(now.Add(-age)); known {
			require.GreaterOrEqual(t, mean, float64(least)-1e-9)
			require.LessOrEqual(t, mean, float64(most)+1e-9)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	f := zoneadmission.Flow{Objective: 400 * time.Millisecond, UrgentObjective: 400 * time.Millisecond, Work: 20 * time.Millisecond}
	l := zoneadmission.Load{Occupied: 270, Slots: 100, InFlightThen: 7.5, InFlight: 8}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		f.Number = uint64(n) << 48
		zoneadmission.Decide(l, f)
	}
}
