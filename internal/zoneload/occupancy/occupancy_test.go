package occupancy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/zoneload/occupancy"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const handshake = 7500 * time.Microsecond

// play sends requests at a constant interval, each of which takes work and one handshake in
// transit, and returns the slots at the end.
func play(interval, work, length time.Duration) float64 {
	var o occupancy.Occupancy
	var ends []time.Duration
	for at := time.Duration(0); at <= length; at += interval {
		for len(ends) > 0 && ends[0] <= at {
			o.Advance(epoch.Add(ends[0]))
			o.Add(-1)
			o.Answered()
			ends = ends[1:]
		}
		o.Advance(epoch.Add(at))
		o.Add(1)
		ends = append(ends, at+work+handshake)
	}
	return o.Slots(epoch.Add(length), handshake)
}

// Guards against load that includes transit: without the subtraction, a zone far from its upstreams
// would seem to need more slots for the same requests.
func TestTransitIsNotOccupied(t *testing.T) {
	require.InDelta(t, 4.7, play(10*time.Millisecond, 47*time.Millisecond, time.Second), 0.3)
	require.InDelta(t, 0, play(10*time.Millisecond, 0, time.Second), 0.05)
}

// Guards against a single request that counts as one occupied slot although it takes 47 ms of 200.
func TestRequestsAreAveraged(t *testing.T) {
	var o occupancy.Occupancy
	o.Advance(epoch)
	o.Advance(epoch.Add(time.Second))
	o.Add(1)
	o.Advance(epoch.Add(time.Second + 50*time.Millisecond))
	o.Add(-1)
	require.InDelta(t, 0.25, o.Slots(epoch.Add(time.Second+50*time.Millisecond), 0), 1e-9)
	require.Zero(t, o.Slots(epoch.Add(time.Second+250*time.Millisecond), 0))
}

// Guards against figures of a balancer that has not been asked for a long time, or that stood still.
func TestLongPauseKeepsOnlyWhatIsInFlight(t *testing.T) {
	var o occupancy.Occupancy
	o.Advance(epoch)
	o.Add(3)
	o.Answered()
	for _, after := range []time.Duration{201 * time.Millisecond, 249 * time.Millisecond, 250 * time.Millisecond, 251 * time.Millisecond, time.Hour} {
		require.InDelta(t, 3, o.Slots(epoch.Add(time.Hour+after), handshake), 1e-9)
	}
	require.Zero(t, new(occupancy.Occupancy).Slots(epoch, handshake), "nothing has been recorded")
}

// Guards against errors at the limits of the parts: the average equals the one of a list of all
// changes, whatever the times of updates, and is never negative.
func TestAverageEqualsThatOfAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			at       time.Duration
			inFlight int
		}
		var o occupancy.Occupancy
		o.Advance(epoch)
		changes := []change{{}}
		at, inFlight := time.Duration(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			at += time.Duration(rapid.IntRange(0, 120_000).Draw(t, "µs")) * time.Microsecond
			o.Advance(epoch.Add(at))
			n := rapid.IntRange(-min(inFlight, 3), 3).Draw(t, "n")
			o.Add(n)
			inFlight += n
			changes = append(changes, change{at: at, inFlight: inFlight})
		}
		end := at + time.Duration(rapid.IntRange(1, 400_000).Draw(t, "last µs"))*time.Microsecond
		const part = 50 * time.Millisecond
		from := max(end.Truncate(part)-4*part, 0)
		area := time.Duration(0)
		for i, c := range changes {
			until := end
			if i+1 < len(changes) {
				until = changes[i+1].at
			}
			area += time.Duration(c.inFlight) * max(until-max(c.at, from), 0)
		}
		require.InDelta(t, float64(area)/float64(end-from), o.Slots(epoch.Add(end), 0), 1e-9)
		require.GreaterOrEqual(t, o.Slots(epoch.Add(end), time.Second), 0.0)
	})
}

func BenchmarkUpdate(b *testing.B) {
	var o occupancy.Occupancy
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		o.Advance(epoch.Add(time.Duration(n) * time.Millisecond))
		o.Add(1 - 2*(n&1))
	}
}
