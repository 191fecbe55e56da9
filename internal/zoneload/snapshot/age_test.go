package snapshot_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/standin/virtual"
	"wasabideal/internal/zoneload/collector"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
)

// hop is a balancer of a simulated tree.
type hop struct {
	name     string
	parent   *hop
	interval time.Duration
	sequence uint64
	reports  *collector.Collector
	view     snapshot.Snapshot
}

// viewAges simulates one zone whose levels have the given numbers of balancers. Each balancer
// reports at its interval, beginning at a random time. It returns the sorted ages of the zone's entry
// at the lowest level; an entry that has expired counts as MaxAge+1.
func viewAges(sizes []int, first, others time.Duration) []time.Duration {
	const transit = 5 * ms
	clock := &virtual.Clock{Now: epoch}
	random := rand.New(rand.NewPCG(1, 2))
	voter := collector.New()
	var send func(*hop)
	send = func(h *hop) {
		clock.AfterFunc(h.interval, func() { send(h) })
		h.sequence++
		asked := clock.Now
		sum := h.reports.Sum(asked, report.Report{Origin: h.name, Life: 1, Sequence: h.sequence, Zone: "a", Balancers: 1})
		clock.AfterFunc(transit, func() {
			var zones []report.Zone
			if h.parent == nil {
				voter.Add(clock.Now, sum)
				zones = voter.Zones(clock.Now)
			} else {
				h.parent.reports.Add(clock.Now, sum)
				zones = h.parent.view.Relay(clock.Now)
			}
			clock.AfterFunc(transit, func() { h.view = h.view.WithAnswer(clock.Now, asked, zones) })
		})
	}
	var above []*hop
	for level, n := range sizes {
		var here []*hop
		for i := range n {
			h := &hop{name: strconv.Itoa(level) + "-" + strconv.Itoa(i), interval: first, reports: collector.New()}
			if level > 0 {
				h.parent, h.interval = above[i%len(above)], others
			}
			clock.AfterFunc(time.Duration(random.Int64N(int64(h.interval))), func() { send(h) })
			here = append(here, h)
		}
		above = here
	}
	var ages []time.Duration
	for at := 3 * time.Second; at < 10*time.Second; at += 20 * ms {
		clock.RunUntil(epoch.Add(at))
		for _, h := range above {
			if z, fresh := h.view.Zone(clock.Now, "a"); fresh {
				ages = append(ages, clock.Now.Sub(z.Measured))
			} else {
				ages = append(ages, snapshot.MaxAge+1)
			}
		}
	}
	slices.Sort(ages)
	return ages
}

// Guards against intervals that leave balancers without a view. With 250 ms each in three levels, as in a
// zone of 178 balancers, the view is too old for two thirds of the time while the load does not change:
// that former interval is only logged, see docs/design/shared-load.md.
func TestAgeOfTheView(t *testing.T) {
	for _, c := range []struct {
		name          string
		sizes         []int
		first, others time.Duration
		// most is the limit of all ages, 0 for none.
		most time.Duration
	}{
		{"two levels, load changes", []int{4, 25}, 45 * ms, 80 * ms, 250*ms + 40*ms},
		{"two levels, constant load", []int{4, 25}, 150 * ms, 150 * ms, snapshot.MaxAge},
		{"two levels, 250 ms", []int{4, 25}, 250 * ms, 250 * ms, snapshot.MaxAge},
		{"three levels, load changes", []int{4, 32, 142}, 45 * ms, 80 * ms, 250*ms + 160*ms + 60*ms},
		{"three levels, constant load", []int{4, 32, 142}, 150 * ms, 150 * ms, snapshot.MaxAge},
		{"three levels, 250 ms", []int{4, 32, 142}, 250 * ms, 250 * ms, 0},
	} {
		ages := viewAges(c.sizes, c.first, c.others)
		fresh, _ := slices.BinarySearch(ages, snapshot.MaxAge+1)
		t.Logf("%s: median %v, 95 %% below %v, too old %.3f of the time", c.name, ages[len(ages)/2], ages[len(ages)*95/100], 1-float64(fresh)/float64(len(ages)))
		if c.most > 0 {
			require.LessOrEqual(t, ages[len(ages)-1], c.most, c.name)
		}
	}
}
