package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
	"wasabideal/internal/upstream/view"
)

// Upstreams start, restart, drain, move between services and zones, become silent, cold or
// suspected, and zones are evacuated, in any order. The lists by zone and the usable slots are
// updated with each change. An upstream that was left in a list, or whose slots were counted
// although it is suspected, would get flows of other zones.
func TestZoneListsMatchAScanOfAllUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		r := New(Settings{Zone: "a", Self: "10.1.0.1:7720", Started: now.Add(-time.Minute)})
		r.SetPeers(now.Add(-time.Minute), []string{"10.1.0.1:7720"})
		require.NoError(t, r.Configure(configuration.Configuration{Revision: 1, Services: []configuration.Service{
			{Name: "s", Cold: &configuration.Cold{For: time.Second, PerSecond: 2}},
		}}))
		zones := rapid.SampledFrom([]string{"a", "b", "c"})
		orders := evacuation.Evacuations{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r.Update(now, view.Changes{Targets: []view.Target{drawTarget(t, now, zones.Draw(t, "zone"))}})
			case 2:
				r.Update(now, view.Changes{Removed: []uint64{rapid.Uint64Range(1, 5).Draw(t, "removed")}})
			case 3:
				zone := zones.Draw(t, "evacuated")
				orders = orders.WithOrder(evacuation.Zone{Name: zone, Evacuated: !orders.Evacuated(zone), When: now})
				r.Evacuate(now, orders)
			case 4:
				subject := evidence.Subject{Incarnation: rapid.Uint64Range(1, 5).Draw(t, "suspected")}
				if rapid.Bool().Draw(t, "whole zone") {
					subject = evidence.Subject{Zone: zones.Draw(t, "suspected zone")}
				}
				r.SetSuspicions(now, map[evidence.Subject]suspicions.Suspicion{subject: {First: now.Add(time.Millisecond)}})
			case 5:
				if x := r.targets[rapid.Uint64Range(1, 5).Draw(t, "unanswered")]; x != nil && x.position.zone != nil {
					r.suspectLocally(now, &flow{target: x, sent: now.Add(-answerTimeout)})
				}
			case 6:
				if x := r.targets[rapid.Uint64Range(1, 5).Draw(t, "opened")]; x != nil {
					x.takeColdToken(now)
				}
			}
			requireListsMatchScan(t, r, now)
		}
	})
}

func drawTarget(t *rapid.T, now time.Time, zone string) view.Target {
	x := view.Target{Live: rapid.IntRange(0, 4).Draw(t, "silent") > 0, Upstream: upstream.Upstream{
		Identity: upstream.Identity{Service: rapid.SampledFrom([]string{"s", "u"}).Draw(t, "service"), Incarnation: rapid.Uint64Range(1, 5).Draw(t, "incarnation")},
		Zone:     zone, Slots: rapid.Uint16Range(1, 2).Draw(t, "slots"), Born: rapid.Uint64Range(0, 1).Draw(t, "born"),
	}}
	x.State = rapid.SampledFrom([]upstream.State{upstream.Ready, upstream.Ready, upstream.Draining}).Draw(t, "state")
	x.Ended = rapid.IntRange(0, 4).Draw(t, "ended") == 0
	if rapid.IntRange(0, 2).Draw(t, "cold") == 0 {
		x.ColdUntil = now.Add(time.Second)
	}
	return x
}

// requireListsMatchScan compares the lists and slots of all pools with a scan of all upstreams.
func requireListsMatchScan(t require.TestingT, r *Router, now time.Time) {
	type key struct{ service, zone string }
	members, usable := map[key]int{}, map[key]float64{}
	for _, x := range r.targets {
		if list := r.poolListOf(x); list != localZone && list != remoteZone {
			require.Nil(t, x.position.zone)
			continue
		}
		k := key{x.Service, x.Zone}
		members[k]++
		require.Equal(t, x.Zone, x.position.zone.name)
		require.Same(t, x, x.position.zone.upstreams[x.position.zoneIndex])
		slots, _ := r.usableSlots(now, x)
		usable[k] += slots
	}
	for name, p := range r.pools {
		r.countUsable(now, p)
		for i, x := range p.reduced {
			require.Equal(t, i, x.position.reducedIndex)
			require.Same(t, p, x.position.pool)
		}
		for _, z := range p.zones {
			k := key{name, z.name}
			require.Len(t, z.upstreams, members[k], fmt.Sprint(k))
			require.InDelta(t, usable[k], z.usable, 1e-9, fmt.Sprint(k))
			delete(members, k)
		}
	}
	require.Empty(t, members, "upstreams of zones without a list")
}
