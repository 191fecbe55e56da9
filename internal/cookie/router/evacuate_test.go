package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/upstream/view"
)

func evacuate(zones ...string) evacuation.Evacuations {
	var e evacuation.Evacuations
	for _, z := range zones {
		e = e.WithOrder(evacuation.Zone{Name: z, Evacuated: true})
	}
	return e
}

// The balancer's own zone is evacuated while a flow is open and an opening is pending. New flows
// must not go to the zone, although the cheapest upstream may be there.
func TestEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	r := newRouter(t, target(1, "orders", "a"), target(2, "orders", "b"), target(3, "orders", "c"))
	require.Equal(t, uint64(1), r.Route(epoch, opening(1)).Incarnation, "the local zone is cheapest")
	r.Evacuate(epoch, evacuate("a"))
	counts := map[uint64]int{}
	for n := 10; n < 110; n++ {
		v := r.Route(epoch, opening(n))
		require.Equal(t, router.Forward, v.Action)
		counts[v.Incarnation]++
	}
	require.Zero(t, counts[1])
	require.InDelta(t, counts[2], counts[3], 2, "callers of the zone are spread evenly over the others")
	require.Equal(t, uint64(1), r.Route(epoch, opening(1)).Incarnation, "a retransmission goes to the upstream of the first packet")
	known := r.Route(epoch, router.Packet{Caller: caller(1), Address: orders, Cookie: router.Cookie(1, 0), Length: 10})
	require.Equal(t, router.Forward, known.Action, "open flows stay")
	// Neither the known nor a new upstream of the evacuated zone is added to the pool.
	r.SetTargets(epoch, []view.Target{target(1, "orders", "a"), target(2, "orders", "b"), target(4, "orders", "a")})
	require.Equal(t, []uint64{2}, r.Pool("orders"))
}

func TestOlderEvacuationsAreIgnored(t *testing.T) {
	r := newRouter(t, target(1, "orders", "a"), target(2, "orders", "b"))
	first := evacuate("a")
	r.Evacuate(epoch, first.WithOrder(evacuation.Zone{Name: "a"}))
	r.Evacuate(epoch, first)
	require.Equal(t, []uint64{1, 2}, r.Pool("orders"))
	require.Equal(t, uint64(2), r.EvacuationRevision())
}

func TestFullyEvacuatedServiceRejectsNewFlows(t *testing.T) {
	r := newRouter(t, target(1, "orders", "a"), target(2, "notes", "b"))
	r.Evacuate(epoch, evacuate("a"))
	v := r.Route(epoch, opening(1))
	require.Equal(t, router.Reset, v.Action)
	require.Equal(t, router.Evacuated, v.Reason)
	r.Evacuate(epoch, evacuate("a").WithOrder(evacuation.Zone{Name: "a"}))
	require.Equal(t, router.Forward, r.Route(epoch.Add(time.Second), opening(2)).Action)
}
