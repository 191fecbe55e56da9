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

// coldFleet is the balancers of a zone that know of each other, or none of the others where
// alone is set, and what they opened at each upstream.
type coldFleet struct {
	routers []*router.Router
	opened  map[uint64][]time.Time
	refused int
	callers int
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
		r := router.New(router.Settings{Zone: "a", Self: peer(i), Started: started, Seed: uint64(i) * turnsApart})
		require.NoError(t, r.Configure(configuration.Configuration{
			Revision: 1, Routes: []configuration.Route{{Name: "orders", Address: orders, Service: "orders"}},
			Services: []configuration.Service{{Name: "orders", Cold: &configuration.Cold{For: coldFor, PerSecond: rate}}},
		}))
		r.SetPeers(started, all)
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *coldFleet) tell(now time.Time, targets ...view.Target) {
	for _, r := range f.routers {
		r.SetTargets(now, targets)
	}
}

// play lets callers ask each balancer 25 times a second.
func (f *coldFleet) play(from time.Time, d time.Duration) {
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Second / 25) {
		for _, r := range f.routers {
			f.callers++
			p := router.Packet{Caller: caller(f.callers), Address: orders, Opening: true}
			v := r.Route(now, p)
			if v.Action != router.Forward {
				f.refused++
				continue
			}
			f.opened[v.Incarnation] = append(f.opened[v.Incarnation], now)
			r.Route(now, router.Packet{Caller: p.Caller, Address: orders, Cookie: v.Cookie, Finish: true})
		}
	}
}

// most is the largest number of flows that an upstream got in any second.
func (f *coldFleet) most(id uint64) int {
	most := 0
	for i, from := range f.opened[id] {
		in := slices.IndexFunc(f.opened[id][i:], func(at time.Time) bool { return at.Sub(from) > time.Second })
		if in < 0 {
			in = len(f.opened[id]) - i
		}
		most = max(most, in)
	}
	return most
}

func coldTarget(id uint64, zone string, until time.Time) view.Target {
	x := target(id, "orders", zone)
	x.ColdUntil = until
	return x
}

// Symptom: an upstream that had just started got 17 requests in a second, and bears 6.
// Events: eight upstreams start beside 24 that are warm; 22 balancers get 25 flows a second.
// Cause: each balancer knows only what it sends itself, and finds the new ones idle.
func TestColdUpstreamGetsNoMoreThanItsRateFromAll(t *testing.T) {
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
		f.tell(epoch, targets...)
		f.play(epoch, coldFor)
		taken := 0
		for id := uint64(1); id <= 8; id++ {
			require.LessOrEqual(t, f.most(id), int(rate), "at a rate of %g", rate)
			taken += len(f.opened[id])
		}
		require.Zero(t, f.refused, "others are warm")
		require.Greater(t, taken, 0, "cold ones take some")
		before := len(f.opened[1])
		f.play(epoch.Add(coldFor), time.Second)
		require.Greater(t, len(f.opened[1])-before, 10, "warm ones take their part")
	}
}

// Symptom: upstreams of a zone that was taken back got many times what they bear.
// Events: a zone is evacuated, its upstreams become cold, it is taken back; they say that they
// are cold with their next announcement, a second later.
// Cause: until then they passed for warm.
func TestRestoredZoneIsColdUntilItsUpstreamsSpoke(t *testing.T) {
	f := newColdFleet(t, 6, epoch.Add(-time.Minute), coldBalancers)
	f.tell(epoch, target(1, "orders", "a"), target(2, "orders", "b"))
	evacuated := evacuation.Evacuations{}.With(evacuation.Zone{Name: "a", Evacuated: true})
	for _, r := range f.routers {
		r.Evacuate(epoch, evacuated)
	}
	f.play(epoch, time.Second)
	require.Zero(t, f.most(1))
	for _, r := range f.routers {
		r.Evacuate(epoch.Add(time.Second), evacuated.With(evacuation.Zone{Name: "a"}))
	}
	f.play(epoch.Add(time.Second), 2900*time.Millisecond)
	require.LessOrEqual(t, f.most(1), 6)
	f.play(epoch.Add(5*time.Second), time.Second)
	require.Greater(t, f.most(1), 25)
}

// Symptom: after all balancers had restarted cold upstreams got many times what they bear.
// Events: each balancer knows only some of the others for the first seconds.
// Cause: each took itself for the one that sends them flows.
func TestBalancersThatJustStartedSpareColdUpstreams(t *testing.T) {
	f := newColdFleet(t, 6, epoch, 3)
	f.tell(epoch, coldTarget(1, "a", epoch.Add(coldFor)), target(2, "orders", "a"))
	f.play(epoch, coldFor)
	require.Zero(t, f.most(1))
	require.Zero(t, f.refused)
}

// Where all that is left is cold, callers are told at once, unless one is warm soon enough.
func TestOnlyColdUpstreamsLeft(t *testing.T) {
	f := newColdFleet(t, 6, epoch.Add(-time.Minute), coldBalancers)
	f.tell(epoch.Add(-time.Minute), coldTarget(1, "b", epoch.Add(coldFor)))
	v := f.routers[0].Route(epoch, opening(1))
	require.Equal(t, router.Reset, v.Action)
	require.Equal(t, router.Cold, v.Reason)
	v = f.routers[0].Route(epoch.Add(1200*time.Millisecond), opening(2))
	require.Equal(t, router.Drop, v.Action)
	require.True(t, v.Reason.Early(), "it is kept")
	require.Equal(t, router.Forward, f.routers[0].Route(epoch.Add(coldFor), opening(2)).Action)
}

// Where operators set no bound, cold upstreams take half a share, as before.
func TestColdUpstreamsWithoutABoundTakeFlows(t *testing.T) {
	f := newColdFleet(t, 0, epoch, coldBalancers)
	x := coldTarget(1, "a", epoch.Add(coldFor))
	x.State = upstream.Ready
	f.tell(epoch, x)
	f.play(epoch, time.Second)
	require.Zero(t, f.refused)
}
