package collector_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/zoneload/collector"
	"wasabideal/internal/zoneload/report"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func load(origin string, life, sequence uint64, slots float64) report.Report {
	return report.Report{
		Origin: origin, Life: life, Sequence: sequence, Zone: "a", Balancers: 1,
		Services: []report.Service{{Name: "orders", Occupied: map[string]float64{"a": slots}}},
	}
}

func slots(r report.Report) float64 {
	sum := 0.0
	for _, s := range r.Services {
		sum += s.Total()
	}
	return sum
}

// Guards against figures that count twice or go back when reports are duplicated or reordered, or
// when a sender restarts.
func TestOnlyNewerReportsReplace(t *testing.T) {
	c := collector.New()
	own := load("parent", 1, 1, 1)
	for i, x := range []struct {
		name           string
		life, sequence uint64
		slots          float64
		used           bool
		sum            float64
	}{
		{"first", 5, 7, 10, true, 11},
		{"duplicate", 5, 7, 10, false, 11},
		{"reordered", 5, 6, 99, false, 11},
		{"next", 5, 8, 20, true, 21},
		{"restarted", 6, 1, 30, true, 31},
		{"late report of the former life", 5, 9, 99, false, 31},
	} {
		now := epoch.Add(time.Duration(i) * ms)
		require.Equal(t, x.used, c.Add(now, load("follower", x.life, x.sequence, x.slots)), x.name)
		sum := c.Sum(now, own)
		require.InDelta(t, x.sum, slots(sum), 1e-9, x.name)
		require.Equal(t, 2, sum.Balancers)
		require.Equal(t, "parent", sum.Origin)
	}
	require.Equal(t, 3, c.Dropped())
	require.InDelta(t, 1, slots(own), 1e-9, "the own report does not change")
}

// Guards against the load of a sender that has stopped or is cut off.
func TestReportsExpire(t *testing.T) {
	c := collector.New()
	require.True(t, c.Add(epoch, load("follower", 1, 1, 5)))
	require.Len(t, c.Zones(epoch.Add(collector.Lifetime)), 1)
	require.Equal(t, collector.Lifetime, c.Zones(epoch.Add(collector.Lifetime))[0].Age, "ages include the time held")
	require.Empty(t, c.Zones(epoch.Add(collector.Lifetime+ms)))
	require.False(t, c.Add(epoch.Add(2*time.Second), load("follower", 1, 1, 5)), "a late duplicate does not revive it")
	require.Empty(t, c.Zones(epoch.Add(2*time.Second)))
	require.True(t, c.Add(epoch.Add(2*time.Second), load("follower", 1, 2, 5)))
	aging := load("aging", 1, 1, 5)
	aging.Age = 900 * ms
	aging.Zone = "b"
	require.True(t, c.Add(epoch.Add(2*time.Second), aging))
	require.Len(t, c.Zones(epoch.Add(2*time.Second+100*ms)), 2)
	require.Len(t, c.Zones(epoch.Add(2*time.Second+101*ms)), 1, "its figures have become too old")
	old := load("other", 1, 1, 5)
	old.Age = time.Second + ms
	require.False(t, c.Add(epoch.Add(2*time.Second), old), "its figures are too old")
	require.Equal(t, 2, c.Dropped())
}

// Guards against a whole subtree that disappears when one balancer in it dies. Its parent includes
// its last report until that expires, so the age of the parent's reports rises to 800 ms. When
// receivers dropped reports by that age, the parent and its other followers were missing as well.
func TestDeathOfOneFollowerHidesNoOther(t *testing.T) {
	parent, voter := collector.New(), collector.New()
	sequence := uint64(0)
	for at := 0 * ms; at <= 3*time.Second; at += 5 * ms {
		now := epoch.Add(at)
		for i := range 8 {
			dead := i == 0 && at > time.Second
			if at%(80*ms) == time.Duration(5*i)*ms && !dead {
				sequence++
				require.True(t, parent.Add(now, load(fmt.Sprint("follower", i), 1, sequence, 1)))
			}
		}
		if at%(45*ms) == 0 {
			sequence++
			require.True(t, voter.Add(now, parent.Sum(now, load("parent", 1, sequence, 1))))
		}
		if at < 200*ms {
			continue
		}
		zones := voter.Zones(now)
		require.Len(t, zones, 1, "%v", at)
		require.GreaterOrEqual(t, zones[0].Balancers, 8, "%v", at)
		require.LessOrEqual(t, zones[0].Age, time.Second)
		if at > 1900*ms {
			require.Equal(t, 8, zones[0].Balancers, "%v", at)
		}
	}
}

func TestZonesAreSummedSeparately(t *testing.T) {
	c := collector.New()
	b := load("x", 1, 1, 4)
	b.Zone, b.Age, b.Link = "b", 100*ms, report.Link{Use: 0.5, Delay: 3 * ms}
	require.True(t, c.Add(epoch, b))
	require.True(t, c.Add(epoch, load("y", 1, 1, 2)))
	b.Origin, b.Age, b.Link = "z", 20*ms, report.Link{Use: 0.7}
	require.True(t, c.Add(epoch, b))
	zones := c.Zones(epoch.Add(10 * ms))
	require.Len(t, zones, 2)
	require.Equal(t, "a", zones[0].Name)
	require.Equal(t, report.Zone{
		Name: "b", Age: 110 * ms, Balancers: 2, Link: report.Link{Use: 0.7},
		Services: []report.Service{{Name: "orders", Occupied: map[string]float64{"a": 8}}},
	}, zones[1])
	sum := c.Sum(epoch, load("parent", 1, 1, 1))
	require.InDelta(t, 3, slots(sum), 1e-9, "the report of a zone includes no other zone")
}

// Guards against a sum that includes the balancer's own report, which has come back to it.
func TestOwnReportIsNotAdded(t *testing.T) {
	c := collector.New()
	own := load("parent", 1, 1, 1)
	require.True(t, c.Add(epoch, own))
	require.Equal(t, own, c.Sum(epoch, own))
}

// Guards against two balancers that follow each other for some time, so that each adds the other's
// sum to its own. Figures that pass through the cycle age with each pass, and are dropped after 1 s.
func TestLoadOfACycleDoesNotGrowWithoutBound(t *testing.T) {
	a, b := collector.New(), collector.New()
	most, sequence := 0, uint64(0)
	for at := 0 * ms; at < 20*time.Second; at += 80 * ms {
		now := epoch.Add(at)
		sequence++
		fromA := a.Sum(now, load("a", 1, sequence, 1))
		b.Add(now.Add(ms), fromA)
		fromB := b.Sum(now.Add(40*ms), load("b", 1, sequence, 1))
		a.Add(now.Add(41*ms), fromB)
		most = max(most, fromA.Balancers, fromB.Balancers)
	}
	require.LessOrEqual(t, most, 30)
}

// Guards against memory that grows with the number of senders.
func TestSendersAreBounded(t *testing.T) {
	c := collector.New()
	const limit = 1024
	for n := range limit + 5 {
		require.Equal(t, n < limit, c.Add(epoch, load(fmt.Sprint(n), 1, 1, 1)))
	}
	require.Equal(t, 5, c.Dropped())
	require.True(t, c.Add(epoch.Add(time.Minute), load("new", 1, 1, 1)), "senders that have stopped make room")
}

// Guards against figures that count twice or go back, over reports that are lost, late, duplicated
// and reordered, and senders that restart or stop. Each report occupies a number of slots that names
// the report, so the sum tells which ones are included.
func TestSumIncludesTheLatestReportOfEachSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type datagram struct {
			arrives time.Duration
			report  report.Report
		}
		type held struct {
			life, sequence uint64
			slots          float64
			at             time.Duration
		}
		c := collector.New()
		expected := map[string]held{}
		lives, sequences := [3]uint64{1, 1, 1}, [3]uint64{}
		var inTransit []datagram
		dropped := 0
		for at := 0 * ms; at < 3*time.Second; at += 20 * ms {
			now := epoch.Add(at)
			i := rapid.IntRange(0, 2).Draw(t, "sender")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				lives[i]++
				sequences[i] = 0
			}
			sequences[i]++
			// Three decimal digits for each sender.
			value := float64((lives[i]*31+sequences[i])%1000) * math.Pow(1000, float64(i))
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * ms
				inTransit = append(inTransit, datagram{at + delay, load(fmt.Sprint(i), lives[i], sequences[i], value)})
			}
			var waiting []datagram
			for _, d := range inTransit {
				if d.arrives > at {
					waiting = append(waiting, d)
					continue
				}
				r := d.report
				last, known := expected[r.Origin]
				newer := !known || r.Life > last.life || r.Life == last.life && r.Sequence > last.sequence
				require.Equal(t, newer, c.Add(now, r))
				if newer {
					expected[r.Origin] = held{life: r.Life, sequence: r.Sequence, slots: slots(r), at: at}
				} else {
					dropped++
				}
			}
			inTransit = waiting
			want, count := 0.0, 1
			for _, x := range expected {
				if at-x.at <= collector.Lifetime {
					want += x.slots
					count++
				}
			}
			sum := c.Sum(now, report.Report{Origin: "own", Zone: "a", Balancers: 1})
			require.InDelta(t, want, slots(sum), 1e-3)
			require.Equal(t, count, sum.Balancers)
			require.LessOrEqual(t, sum.Age, collector.Lifetime)
			require.Equal(t, dropped, c.Dropped())
		}
	})
}

func BenchmarkZones(b *testing.B) {
	c := collector.New()
	for n := range 100 {
		r := load(fmt.Sprint(n), 1, 1, 1)
		r.Zone = fmt.Sprint(n % 18)
		r.Services = append(r.Services, report.Service{Name: "catalog", Occupied: map[string]float64{"a": 1, "b": 2}})
		c.Add(epoch, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Zones(epoch)
	}
}
