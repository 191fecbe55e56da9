package cookie

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/zoneload/snapshot"
)

// newZoneBalancer returns a balancer of zone a, with an upstream of two slots in each of zones a and b.
func newZoneBalancer(t *testing.T, sharedLoad bool) *linkBalancer {
	off, err := mechanism.Parse("LinkAdmission")
	require.NoError(t, err)
	x := newLinkBalancer(t, sharedLoad, off)
	var targets []view.Target
	for i, zone := range []string{"a", "b"} {
		targets = append(targets, view.Target{Live: true, Upstream: upstream.Upstream{
			Identity: upstream.Identity{Service: "orders", Incarnation: uint64(i + 77), Address: netip.MustParseAddrPort("127.0.0.1:9")},
			Zone:     zone, Slots: 2, State: upstream.Ready,
		}})
	}
	x.router.SetTargets(linkEpoch.Add(-time.Minute), targets)
	return x
}

// setLoad sets a view in which the callers of zones a and b occupy slots of their own zone.
func (x *linkBalancer) setLoad(version uint64, a, b float64) {
	zone := func(name string, occupied float64) snapshot.Zone {
		return snapshot.Zone{Measured: x.now, Services: map[string]snapshot.Service{"orders": {Occupied: map[string]float64{name: occupied}}}}
	}
	x.router.SetLoad(x.now, snapshot.Snapshot{Version: version, Zones: map[string]snapshot.Zone{"a": zone("a", a), "b": zone("b", b)}})
}

// Guards against more than one line of each kind in a second, lines while nothing is in force, and lines
// without what decided.
func TestZoneDecisionsAreLoggedOnceASecond(t *testing.T) {
	x := newZoneBalancer(t, true)
	lines := func(message string) int { return strings.Count(x.log.String(), `"@message":"`+message+`"`) }
	play := func(a, b float64) {
		for i := range 100 {
			x.now = x.now.Add(30 * time.Millisecond)
			x.setLoad(uint64(x.now.UnixMilli()), a, b)
			p := router.Packet{Caller: linkCaller(i), Address: linkRoute, Opening: true}
			if v := x.routePacket(x.now, x.now, p, make([]byte, linkHeaderSize)); v.Action == router.Forward {
				x.handlePacket(router.Packet{Caller: p.Caller, Address: linkRoute, Cookie: v.Cookie, Reset: true})
			}
			x.logZoneDecisions(x.now)
		}
	}
	play(0.4, 0.4)
	require.Zero(t, lines("zone placement"))
	require.Zero(t, lines("zone admission"))
	play(2.4, 0.2)
	require.InDelta(t, 3, lines("zone placement"), 1)
	require.True(t, strings.Contains(x.log.String(), `"Shares":[{"Zone":"b","Short":0.`))
	require.True(t, strings.Contains(x.log.String(), `"OwnUse":1.2`))
	require.True(t, strings.Contains(x.log.String(), `"Level":0.65`))
	require.Zero(t, lines("zone admission"))
	require.Contains(t, x.metrics(), "wasabideal_flows_spilled_total ")
	require.NotContains(t, x.metrics(), "wasabideal_flows_spilled_total 0\n")
	play(30, 30)
	require.InDelta(t, 3, lines("zone admission"), 1)
	require.True(t, strings.Contains(x.log.String(), `"OrdinaryLimit":`))
	require.NotContains(t, x.metrics(), "wasabideal_flows_rejected_use_total 0\n")
}

// Guards against metrics and lines of shared load at a balancer that does not share its load.
func TestMetricsWithoutSharedLoad(t *testing.T) {
	x := newZoneBalancer(t, false)
	x.logZoneDecisions(x.now.Add(time.Hour))
	for _, name := range []string{"rejected_use", "spilled", "load_", "link_"} {
		require.NotContains(t, x.metrics(), name)
	}
	require.Empty(t, x.log.String())
	s := x.loadStatus("")
	require.False(t, s.Shared)
	require.Empty(t, s.Zones)
}
