package reducer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/core/event"
	"wasabideal/internal/model/upstream"
)

// Only one balancer receives a new revision from a voter, and a third of all messages is lost.
// If balancers sent the revision only once, some would keep the old preset.
func TestRevisionReachesAllBalancersDespiteLoss(t *testing.T) {
	f := suezFleet(21)
	f.loss = 1.0 / 3
	c := f.config.WithPreset("peak").WithRevision(5)
	f.reduce(f.nodes["b003"], event.Event{Kind: event.ConfigurationReceived, Configuration: &c})
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		require.Equal(t, "peak", n.reducer.Configuration().InForce, n.name)
	}
}

// A balancer without a disk restarts in an isolated zone and receives an old revision. If it
// adopted the revision received last instead of the highest, the old configuration would replace
// a newer one.
func TestRestartInAnIsolatedZoneUsesTheHighestRevision(t *testing.T) {
	f := suezFleet(22)
	f.usePreset("maintenance")
	f.run(5 * time.Second)
	old := f.config.WithPreset("ordinary").WithRevision(1)
	f.partition("Adabiya", time.Minute)
	f.run(5 * time.Second)
	n := f.nodes["b001"]
	f.config = old
	f.startNode(n)
	f.run(5 * time.Second)
	require.EqualValues(t, 2, n.reducer.Configuration().Revision)
	for _, name := range []string{"b001", "b004", "b007"} {
		s := f.nodes[name].reducer.Status(f.now)
		require.Equal(t, "maintenance", s.InForce)
		require.True(t, s.Isolated)
	}
}

// A flow sends nothing for 20 hours while balancers are replaced. If idle flows were not kept
// and replicated, the flow's next packet would cause a reset.
func TestIdleFlowSurvivesTheReplacementOfBalancers(t *testing.T) {
	f := suezFleet(23)
	f.openFlows(200, "orders", time.Second, 20*time.Hour)
	f.run(30 * time.Second)
	for i, name := range []string{"b000", "b001", "b002", "b003", "b004"} {
		f.nodes[name].alive = false
		f.run(40 * time.Second)
		f.addNode(40+i, "Ismailia")
		f.run(40 * time.Second)
	}
	for _, c := range f.callers {
		c.state = open
		f.startExchange(c)
	}
	f.run(20 * time.Second)
	require.Zero(t, f.broken)
}

// A caller's SYN arrives at two balancers at the same time, and again later. If more than one
// balancer owned the flow, the caller would have two connections.
func TestSimultaneousSYNsOpenOneFlow(t *testing.T) {
	f := suezFleet(24)
	f.duplicate = 0.5
	for i := range 200 {
		c := f.call(i, "orders", time.Second)
		f.sendPacket(c, tcpFlags{SYN: true})
	}
	f.run(10 * time.Second)
	require.Zero(t, f.broken)
	accepted := 0
	for _, u := range f.upstreams {
		accepted += len(u.connections)
	}
	require.Equal(t, 200, accepted)
}

// A flow closes, its upstream drains, and the caller opens a flow from the same port. If the
// new flow were treated as the closed one, it would reach the draining upstream.
func TestReusedPortIsANewFlow(t *testing.T) {
	f := suezFleet(25)
	c := f.call(0, "orders", time.Hour)
	f.run(2 * time.Second)
	first := f.upstreams[c.upstream]
	f.sendPacket(c, tcpFlags{FIN: true, ACK: true})
	f.run(time.Second)
	delete(first.connections, c.source.String())
	f.drain(first)
	f.run(2 * time.Second)
	*c = caller{source: c.source, service: c.service, name: c.name, interval: time.Second, since: f.now, retransmitTimeout: firstRetransmitTimeout}
	f.dial(c)
	f.run(5 * time.Second)
	require.Zero(t, f.broken)
	require.NotEqual(t, first.Address, c.upstream)
}

// An upstream restarts with a new incarnation and without its connections. Only its own flows
// may break; resets of other flows are a fault.
func TestUpstreamRestartBreaksOnlyItsOwnFlows(t *testing.T) {
	f := suezFleet(26)
	f.openFlows(300, "orders", time.Second, time.Second)
	u := f.firstReadyUpstream()
	own := len(u.connections)
	u.connections = map[string]bool{}
	u.Incarnation++
	u.Sequence = 0
	f.run(10 * time.Second)
	require.Equal(t, own, f.broken)
	require.Zero(t, f.misdelivered)
}

// One zone has most balancers and few upstreams. If its balancers preferred their zone beyond
// the zone's capacity, flows would go to overloaded upstreams while others have capacity.
func TestOverloadedZoneSpillsOver(t *testing.T) {
	f := newFleet(27)
	for i := range 6 {
		f.addNode(i, []string{"big", "big", "big", "big", "small", "small"}[i])
	}
	f.run(3 * time.Second)
	for i := range 12 {
		f.addUpstream(i, "orders", []string{"big", "small", "small"}[i%3])
	}
	f.run(3 * time.Second)
	f.openFlows(2400, "orders", 2*time.Second, 10*time.Second)
	require.LessOrEqual(t, f.imbalance("orders"), 1.25)
	near := 0
	for _, u := range f.upstreams {
		if u.Zone == "big" {
			near += len(u.connections)
		}
	}
	require.InDelta(t, 800, near, 120, fmt.Sprint("flows kept in the big zone of ", 2400))
	require.Equal(t, upstream.Ready, f.firstReadyUpstream().State)
}

// A service is moved to another group but remains in the configuration. A balancer of the first
// group must not serve the service, because it does not know the service's upstreams.
func TestServicesOfAnotherGroupAreNotServed(t *testing.T) {
	f := suezFleet(28)
	f.openFlows(20, "orders", time.Second, time.Second)
	c := f.config.WithRevision(2)
	c.Services = append(c.Services[:0:0], c.Services...)
	c.Services[1].Group = "elsewhere"
	for _, n := range f.nodes {
		f.reduce(n, event.Event{Kind: event.ConfigurationReceived, Configuration: &c})
	}
	f.openFlows(20, "notes", time.Second, time.Second)
	for _, u := range f.upstreams {
		if u.Service == "notes" {
			require.Empty(t, u.connections)
		}
	}
	require.Len(t, f.nodes["b000"].reducer.Configuration().Services, 2, "the complete configuration is kept for peers that fetch it")
	require.Zero(t, f.broken)
}
