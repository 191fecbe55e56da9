package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/view"
)

// coldFleet simulates the balancers of a zone, each with the same list of peers, and
// records the flows opened at each upstream.
type coldFleet struct {
	routers  []*router.Router
	opened   map[uint64][]time.Time
	rejected int
	callers  int
}

const (
	coldBalancers = 22
	coldFor       = 2 * time.Second
)

func peer(i int) string { return fmt.Sprintf("10.1.0.%d:7720", i) }

func newColdFleet(t *testing.T, rate float64, started time.Time, peers int) *coldFleet {
	f := &coldFleet{opened: map[uint64][]time.Time{}}
	var all []string
	for i := range peers {
		all = append(all, peer(i))
	}
	for i := range coldBalancers {
		r := router.New(router.Settings{Zone: "a", Self: peer(i), Started: started, Seed: uint64(i) * seedStep})
		require.NoError(t, r.Configure(configuration.Configuration{
			Revision: 1, Routes: []configuration.Route{{Name: "orders", Address: orders, Service: "orders"}},
			Services: []configuration.Service{{Name: "orders", Cold: &configuration.Cold{For: coldFor, PerSecond: rate}}},
		}))
		r.SetPeers(started, all)
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *coldFleet) setTargets(now time.Time, targets ...view.Target) {
	for _, r := range f.routers {
		r.SetTargets(now, targets)
	}
}

// simulate sends each balancer 25 openings a second.
func (f *coldFleet) simulate(from time.Time, d time.Duration) {
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Second / 25) {
		for _, r := range f.routers {
			f.callers++
			p := router.Packet{Caller: caller(f.callers), Address: orders, Opening: true}
			v := r.Route(now, p)
			if v.Action != router.Forward {
				f.rejected++
				continue
			}
			f.opened[v.Incarnation] = append(f.opened[v.Incarnation], now)
			r.Route(now, router.Packet{Caller: p.Caller, Address: orders, Cookie: v.Cookie, Finish: true})
		}
	}
}

// maxPerSecond returns the largest number of flows that an upstream got within a second.
func (f *coldFleet) maxPerSecond(id uint64) int {
	maxPerSecond := 0
	for i, from := range f.opened[id] {
		count := slices.IndexFunc(f.opened[id][i:], func(at time.Time) bool { return at.Sub(from) > time.Second })
		if count < 0 {
			count = len(f.opened[id]) - i
		}
		maxPerSecond = max(maxPerSecond, count)
	}
	return maxPerSecond
}

func coldTarget(id uint64, zone string, until time.Time) view.Target {
	x := target(id, "orders", zone)
	x.ColdUntil = until
	return x
}

// Eight upstreams start beside 24 warm ones, and 22 balancers get 25 flows a second each. Each
// balancer sees only its own flows, and considers the cold upstreams idle. An upstream that had
// just started used to get 17 flows in a second at a rate of 6.
func TestColdRateLimitsFlowsOfAllBalancers(t *testing.T) {
	for _, rate := range []float64{2, 6, 12} {
		f := newColdFleet(t, rate, epoch.Add(-time.Minute), coldBalancers)
		var targets []view.Target
		for id := range uint64(32) {
			until := time.Time{}
			if id < 8 {
				until = epoch.Add(coldFor)
			}
			targets = append(targets, coldTarget(id+1, "a", until))
		}
		f.setTargets(epoch, targets...)
		f.simulate(epoch, coldFor)
		coldFlows := 0
		for id := uint64(1); id <= 8; id++ {
			require.LessOrEqual(t, f.maxPerSecond(id), int(rate), "at a rate of %g", rate)
			coldFlows += len(f.opened[id])
		}
		require.Zero(t, f.rejected, "24 others are warm")
		require.Greater(t, coldFlows, 0, "cold upstreams get some flows")
		before := len(f.opened[1])
		f.simulate(epoch.Add(coldFor), time.Second)
		require.Greater(t, len(f.opened[1])-before, 10, "warm upstreams get their share")
	}
}

// Upstreams become cold while their zone is evacuated. Until their next announcement, a second
// after the evacuation was revoked, balancers used to consider the upstreams warm and sent them
// many times their rate.
func TestZoneIsColdAfterItsEvacuation(t *testing.T) {
	f := newColdFleet(t, 6, epoch.Add(-time.Minute), coldBalancers)
	f.setTargets(epoch, target(1, "orders", "a"), target(2, "orders", "b"))
	evacuated := evacuation.Evacuations{}.WithOrder(evacuation.Zone{Name: "a", Evacuated: true})
	for _, r := range f.routers {
		r.Evacuate(epoch, evacuated)
	}
	f.simulate(epoch, time.Second)
	require.Zero(t, f.maxPerSecond(1))
	for _, r := range f.routers {
		r.Evacuate(epoch.Add(time.Second), evacuated.WithOrder(evacuation.Zone{Name: "a"}))
	}
	f.simulate(epoch.Add(time.Second), 2900*time.Millisecond)
	require.LessOrEqual(t, f.maxPerSecond(1), 6)
	f.simulate(epoch.Add(5*time.Second), time.Second)
	require.Greater(t, f.maxPerSecond(1), 25)
}

// All balancers restart, and for the first seconds each knows only some of the others. Several
// balancers must not each consider the same cold upstream assigned to themselves.
func TestRestartedBalancersSendNoFlowsToColdUpstreams(t *testing.T) {
	f := newColdFleet(t, 6, epoch, 3)
	f.setTargets(epoch, coldTarget(1, "a", epoch.Add(coldFor)), target(2, "orders", "a"))
	f.simulate(epoch, coldFor)
	require.Zero(t, f.maxPerSecond(1))
	require.Zero(t, f.rejected)
}

// If only cold upstreams are left, openings are reset at once, or buffered if an upstream will
// be warm soon enough.
func TestOnlyColdUpstreams(t *testing.T) {
	f := newColdFleet(t, 6, epoch.Add(-time.Minute), coldBalancers)
	f.setTargets(epoch.Add(-time.Minute), coldTarget(1, "b", epoch.Add(coldFor)))
	v := f.routers[0].Route(epoch, opening(1))
	require.Equal(t, router.Reset, v.Action)
	require.Equal(t, router.Cold, v.Reason)
	v = f.routers[0].Route(epoch.Add(1200*time.Millisecond), opening(2))
	require.Equal(t, router.Drop, v.Action)
	require.True(t, v.Reason.Temporary(), "the balancer may buffer the opening and try again")
	require.Equal(t, router.Forward, f.routers[0].Route(epoch.Add(coldFor), opening(2)).Action)
}

// Without a configured cold rate, no flow is rejected because its upstream is cold.
func TestColdUpstreamsWithoutARateGetFlows(t *testing.T) {
	f := newColdFleet(t, 0, epoch, coldBalancers)
	x := coldTarget(1, "a", epoch.Add(coldFor))
	x.State = upstream.Ready
	f.setTargets(epoch, x)
	f.simulate(epoch, time.Second)
	require.Zero(t, f.rejected)
}
