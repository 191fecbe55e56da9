package snapshot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func zone(name string, age time.Duration, balancers, known int, slots float64) report.Zone {
	return report.Zone{
		Name: name, Age: age, Balancers: balancers, Known: known,
		Services: []report.Service{{
			Name: "orders", Occupied: map[string]float64{"a": slots}, Admitted: [report.Tiers]float64{10, 20}, Rejected: [report.Tiers]float64{1, 2},
		}},
	}
}

func TestYoungerEntryCounts(t *testing.T) {
	var s snapshot.Snapshot
	s = s.With(epoch, []report.Zone{zone("a", 100*ms, 3, 3, 5)})
	require.Equal(t, uint64(1), s.Version)
	older := s.With(epoch.Add(50*ms), []report.Zone{zone("a", 151*ms, 3, 3, 9)})
	require.Equal(t, s, older, "an older entry changes nothing")
	same := s.With(epoch.Add(50*ms), []report.Zone{zone("a", 150*ms, 3, 3, 5)})
	require.Equal(t, s, same, "neither does the same one")
	next := s.With(epoch.Add(50*ms), []report.Zone{zone("a", 149*ms, 3, 3, 9)})
	require.Equal(t, uint64(2), next.Version)
	require.InDelta(t, 9, next.Zones["a"].Demand("orders"), 1e-9)
	require.InDelta(t, 5, s.Zones["a"].Demand("orders"), 1e-9, "a snapshot is immutable")
}

// Guards against a zone that looks half empty because half of its balancers are missing in the sum,
// and against an entry of few balancers that is scaled to a whole zone.
func TestFiguresAreScaledToAllBalancers(t *testing.T) {
	for _, c := range []struct {
		balancers, known int
		scale            float64
		representative   bool
	}{{30, 33, 1.1, true}, {15, 30, 2, true}, {14, 30, 2, false}, {10, 30, 2, false}, {33, 30, 1, true}, {5, 0, 1, true}, {0, 30, 1, true}} {
		s := snapshot.Snapshot{}.With(epoch, []report.Zone{zone("a", 0, c.balancers, c.known, 10)})
		z, fresh := s.Zone(epoch, "a")
		require.True(t, fresh)
		require.Equal(t, c.balancers, z.Balancers)
		require.Equal(t, c.representative, z.Representative())
		require.InDelta(t, 10*c.scale, z.Demand("orders"), 1e-9)
		require.InDelta(t, 20*c.scale, z.Services["orders"].Admitted[report.Urgent], 1e-9)
		require.InDelta(t, c.scale, z.Services["orders"].Rejected[report.Ordinary], 1e-9)
		require.InDelta(t, 10, s.Relay(epoch)[0].Services[0].Occupied["a"], 1e-9, "followers scale for themselves")
		require.Equal(t, c.known, s.Relay(epoch)[0].Known)
	}
}

// Guards against decisions by the load of a zone that is cut off.
func TestEntriesExpire(t *testing.T) {
	s := snapshot.Snapshot{}.With(epoch, []report.Zone{zone("a", 200*ms, 1, 1, 1), zone("b", 0, 1, 1, 1), zone("c", 1001*ms, 1, 1, 1)})
	require.Len(t, s.Zones, 2, "an entry that is too old is not stored")
	_, fresh := s.Zone(epoch.Add(800*ms), "a")
	require.True(t, fresh)
	_, fresh = s.Zone(epoch.Add(801*ms), "a")
	require.False(t, fresh)
	require.Len(t, s.Relay(epoch.Add(801*ms)), 1)
	next := s.With(epoch.Add(801*ms), nil)
	require.Len(t, next.Zones, 1)
	require.Equal(t, uint64(2), next.Version)
	require.Equal(t, next, next.With(epoch.Add(802*ms), nil))
}

// Guards against a service that seems unused because it did not fit into a message.
func TestServicesThatWereLeftOutAreUnknown(t *testing.T) {
	z := zone("a", 0, 1, 1, 1)
	s := snapshot.Snapshot{}.With(epoch, []report.Zone{z})
	require.True(t, s.Zones["a"].Knows("orders"))
	require.True(t, s.Zones["a"].Knows("unused"))
	z.Partial = true
	s = snapshot.Snapshot{}.With(epoch, []report.Zone{z})
	require.True(t, s.Zones["a"].Knows("orders"))
	require.False(t, s.Zones["a"].Knows("unused"))
}

func TestNumberOfZonesIsBounded(t *testing.T) {
	var s snapshot.Snapshot
	for n := range 100 {
		s = s.With(epoch, []report.Zone{zone(fmt.Sprint(n), 0, 1, 1, 1)})
	}
	require.Len(t, s.Zones, report.MaxZones)
}

// Guards against an answer that was delayed in transit and looks as young as one that was not.
func TestAgesCountFromTheReport(t *testing.T) {
	s := snapshot.Snapshot{}.WithAnswer(epoch.Add(300*ms), epoch.Add(290*ms), []report.Zone{zone("a", 10*ms, 1, 1, 2)})
	late := s.WithAnswer(epoch.Add(400*ms), epoch.Add(100*ms), []report.Zone{zone("a", 0, 1, 1, 1)})
	require.Equal(t, s, late)
	require.Equal(t, epoch.Add(280*ms), s.Zones["a"].Measured)
}

func TestAnswersOfReorderedReportsAreDropped(t *testing.T) {
	var q snapshot.Requests
	_, ok := q.Answered("voter", 1)
	require.False(t, ok, "nothing was sent")
	for n := range uint64(40) {
		q.Sent(epoch.Add(time.Duration(n)*ms), n+1)
	}
	asked, ok := q.Answered("voter", 30)
	require.True(t, ok)
	require.Equal(t, epoch.Add(29*ms), asked)
	_, ok = q.Answered("voter", 30)
	require.True(t, ok, "a second datagram of the same answer")
	_, ok = q.Answered("voter", 29)
	require.False(t, ok, "the same process has answered a later report")
	_, ok = q.Answered("other", 29)
	require.True(t, ok)
	for _, sequence := range []uint64{0, 8, 41, 1 << 60} {
		_, ok = q.Answered("third", sequence)
		require.False(t, ok, "sequence %d is not remembered or was not sent", sequence)
	}
}

// Guards against entries that go back and figures that count twice: a balancer reports every 45 ms
// to two voters, each of which answers with what it holds. Reports and answers are lost, delayed by
// up to 400 ms, duplicated and reordered. The figure of a measurement is its time, so the held
// figure tells which measurement is held.
func TestEntriesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type datagram struct {
			arrives  time.Duration
			voter    string
			sequence uint64
			measured time.Duration
			zones    []report.Zone
		}
		var q snapshot.Requests
		var s snapshot.Snapshot
		var inTransit []datagram
		latest := time.Duration(0)
		for at, sequence := 0*ms, uint64(1); at < 3*time.Second; at += 5 * ms {
			now := epoch.Add(at)
			if at%(45*ms) == 0 {
				q.Sent(now, sequence)
				for _, voter := range []string{"v1", "v2"} {
					for range rapid.IntRange(0, 2).Draw(t, "copies") {
						answered := at + time.Duration(rapid.IntRange(0, 200).Draw(t, "there"))*ms
						age := time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * ms
						measured := max(answered-age, 0)
						inTransit = append(inTransit, datagram{
							arrives: answered + time.Duration(rapid.IntRange(0, 200).Draw(t, "back"))*ms, voter: voter, sequence: sequence, measured: measured,
							zones: []report.Zone{zone("a", answered-measured, 2, 2, float64(measured/ms))},
						})
					}
				}
				sequence++
			}
			var waiting []datagram
			for _, d := range inTransit {
				if d.arrives > at {
					waiting = append(waiting, d)
					continue
				}
				asked, ok := q.Answered(d.voter, d.sequence)
				if !ok {
					continue
				}
				before := s
				s = s.WithAnswer(now, asked, d.zones)
				held, known := s.Zones["a"]
				require.True(t, known || len(before.Zones) == 0 || now.Sub(before.Zones["a"].Measured) > snapshot.MaxAge)
				if !known {
					continue
				}
				require.False(t, held.Measured.Before(before.Zones["a"].Measured), "the entry went back")
				require.GreaterOrEqual(t, s.Version, before.Version)
				figure := time.Duration(held.Demand("orders")) * ms
				require.LessOrEqual(t, held.Measured.Sub(epoch), figure, "an entry seems younger than it is")
				require.LessOrEqual(t, figure, at, "a figure was counted twice")
				if s.Version == before.Version {
					require.Equal(t, before, s)
					require.Equal(t, latest, figure)
				}
				latest = figure
			}
			inTransit = waiting
			for _, z := range s.Relay(now) {
				require.LessOrEqual(t, z.Age, snapshot.MaxAge)
				require.Equal(t, now.Sub(s.Zones["a"].Measured), z.Age)
			}
		}
	})
}

// Guards against entries that become younger on their way through a tree of parents, each of which
// rounds ages.
func TestRelayedEntriesDoNotBecomeYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := make([]snapshot.Snapshot, 4)
		at := time.Duration(0)
		for range 30 {
			at += time.Duration(rapid.IntRange(1, 90_000).Draw(t, "µs")) * time.Microsecond
			now := epoch.Add(at)
			if rapid.Bool().Draw(t, "voter answers") {
				levels[0] = levels[0].With(now, []report.Zone{zone("a", 0, 1, 1, float64(at/time.Microsecond))})
			}
			i := rapid.IntRange(1, len(levels)-1).Draw(t, "level")
			b, err := report.Answer{Zones: levels[i-1].Relay(now)}.Encode()
			require.NoError(t, err)
			a, err := report.DecodeAnswer(b)
			require.NoError(t, err)
			levels[i] = levels[i].With(now, a.Zones)
			for _, s := range levels {
				if z, fresh := s.Zone(now, "a"); fresh {
					require.LessOrEqual(t, z.Measured.Sub(epoch), time.Duration(z.Demand("orders"))*time.Microsecond)
				}
			}
		}
	})
}
