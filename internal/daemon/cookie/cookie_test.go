package cookie_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/daemon/cookie"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/wire/rpc"
)

// jsonCodec encodes packets as JSON.
type jsonCodec struct{}

func (jsonCodec) Decode(b []byte) (router.Packet, error) {
	var p router.Packet
	if err := json.Unmarshal(b, &p); err != nil {
		return p, err
	}
	return p, nil
}

func (jsonCodec) Forward(buffer, data []byte, v router.Verdict) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return buffer
	}
	return append(buffer, b...)
}

func (jsonCodec) Reset(buffer []byte, p router.Packet) (netip.AddrPort, []byte) {
	return p.Caller, append(buffer, "reset"...)
}

func listenUDP(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// receive returns the next datagram that arrives within d.
func receive(c *net.UDPConn, d time.Duration) ([]byte, bool) {
	b := make([]byte, 2048)
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return nil, false
	}
	n, err := c.Read(b)
	return b[:n], err == nil
}

func startVoter(t *testing.T) *control.Control { return startVoterIn(t, t.TempDir()) }

// startVoterIn starts a voter with a data folder.
func startVoterIn(t *testing.T, folder string) *control.Control {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	self := agreement.Voter{Name: "v1", Address: l.Addr().String()}
	c, err := control.Listen(control.Settings{
		Name: "v1", DataFolder: folder, Founders: []agreement.Voter{self}, Heartbeat: 10 * time.Millisecond,
		Election: 50 * time.Millisecond, Tick: 5 * time.Millisecond, AcceptTimeout: time.Second, CompactAfter: 8,
		GroupToken: "group", OperatorToken: "operator", Clock: time.Now, SilentAfter: time.Minute,
	}, l, hclog.NewNullLogger())
	require.NoError(t, err)
	c.Start(context.Background())
	t.Cleanup(c.Stop)
	return c
}

func startBalancer(t *testing.T, voter string) *cookie.Balancer { return startOnLink(t, voter, 0) }

// startOnLink starts a balancer on a VM with a link of the given bandwidth.
func startOnLink(t *testing.T, voter string, bytesPerSecond float64) *cookie.Balancer {
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Sources: []string{voter}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
		Codec: jsonCodec{}, Clock: time.Now, LinkBytesPerSecond: bytesPerSecond,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(context.Background())
	return b
}

var (
	orders = netip.MustParseAddrPort("198.18.0.1:443")
	notes  = netip.MustParseAddrPort("198.18.0.2:443")
)

func publish(t *testing.T, voter *control.Control) {
	require.Eventually(t, func() bool {
		_, err := voter.Voter().Publish(t.Context(), configuration.Configuration{
			Revision: 3,
			Services: []configuration.Service{{Name: "orders", Protocol: configuration.TCP}},
			Routes: []configuration.Route{
				{Name: "r", Address: orders, Service: "orders", Timeout: time.Second},
				{Name: "u", Address: notes, Service: "orders", Timeout: time.Second, Class: configuration.Upload},
			},
		}, "first", "test")
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
}

func announce(t *testing.T, voter *control.Control, at netip.AddrPort) {
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: at, Incarnation: 77}, Zone: "a", Slots: 2, Sequence: 1,
	}
	require.NoError(t, voter.Upstreams().Announce(t.Context(), u, 0))
}

func send(t *testing.T, caller *net.UDPConn, b *cookie.Balancer, p router.Packet) {
	p.Caller = addressOf(caller)
	if !p.Address.IsValid() {
		p.Address = orders
	}
	data, err := json.Marshal(p)
	require.NoError(t, err)
	_, err = caller.WriteToUDPAddrPort(data, b.Address())
	require.NoError(t, err)
}

// After a site-wide power loss, an opening reaches a balancer before any voter has responded to the
// balancer. The opening was dropped, and callers waited up to 1.6 s for their next retransmission,
// although all processes were running.
func TestEarlyOpeningIsPlacedWithConfiguration(t *testing.T) {
	voter, backend, caller := startVoter(t), listenUDP(t), listenUDP(t)
	b := startBalancer(t, voter.Address())
	t.Cleanup(b.Kill)
	end := time.Now().Add(20 * time.Second)
	send(t, caller, b, router.Packet{Opening: true})
	_, early := receive(backend, 50*time.Millisecond)
	require.False(t, early)
	require.False(t, b.Ready())
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	data, ok := receive(backend, time.Second)
	for !ok && time.Now().Before(end) {
		// On a slow machine the buffered packet has expired.
		send(t, caller, b, router.Packet{Opening: true, Copy: 1})
		data, ok = receive(backend, time.Second)
	}
	require.True(t, ok)
	var v router.Verdict
	require.NoError(t, json.Unmarshal(data, &v))
	require.Equal(t, uint64(77), v.Incarnation)
	require.True(t, b.Ready())
	w := httptest.NewRecorder()
	b.ServeMetrics(w, nil)
	require.Contains(t, w.Body.String(), "wasabideal_packets_placed_total 1\n")
	require.Contains(t, w.Body.String(), "wasabideal_revision 3\n")
}

// The fabric sends packets to a stopping balancer until two readiness checks have failed. The balancer
// used to exit or stop forwarding before that, which broke requests.
func TestPlannedStopForwardsUntilTrafficEnds(t *testing.T) {
	voter, backend, caller := startVoter(t), listenUDP(t), listenUDP(t)
	b := startBalancer(t, voter.Address())
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.Stop()
	}()
	require.Eventually(t, func() bool { return !b.Ready() }, 20*time.Second, time.Millisecond)
	for range 10 {
		send(t, caller, b, router.Packet{Cookie: router.Cookie(77, 0), Acknowledged: 1})
		_, ok := receive(backend, 20*time.Second)
		require.True(t, ok)
		time.Sleep(100 * time.Millisecond)
	}
	<-stopped
	_, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Address()))
	require.NoError(t, err, "the port must be released")
}

func TestMalformedDatagramsAreCountedAndDropped(t *testing.T) {
	voter, caller := startVoter(t), listenUDP(t)
	b := startBalancer(t, voter.Address())
	t.Cleanup(b.Kill)
	_, err := caller.WriteToUDPAddrPort([]byte("no packet"), b.Address())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		w := httptest.NewRecorder()
		b.ServeMetrics(w, nil)
		return strings.Contains(w.Body.String(), "wasabideal_datagrams_malformed_total 1\n")
	}, 20*time.Second, 5*time.Millisecond)
}

// A link has capacity for two uploads. A third upload was rejected at once, although one of the first
// two ended shortly afterwards, and uploads failed because three balancers in a row rejected them.
func TestThirdUploadWaitsForCapacity(t *testing.T) {
	voter, backend := startVoter(t), listenUDP(t)
	b := startOnLink(t, voter.Address(), 250_000)
	t.Cleanup(b.Kill)
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
	open := func(caller *net.UDPConn) { send(t, caller, b, router.Packet{Address: notes, Opening: true}) }
	first, second, third := listenUDP(t), listenUDP(t), listenUDP(t)
	// isPlaced retransmits an opening, as callers do: a starting balancer buffers it until the upstream is established.
	isPlaced := func(caller *net.UDPConn) func() bool {
		return func() bool {
			open(caller)
			_, ok := receive(backend, 2*time.Second)
			return ok
		}
	}
	// On a slow machine the third upload may wait too long; it is then rejected and retried.
	require.Eventually(t, func() bool {
		require.Eventually(t, isPlaced(first), 20*time.Second, time.Millisecond)
		require.Eventually(t, isPlaced(second), 20*time.Second, time.Millisecond)
		open(third)
		send(t, first, b, router.Packet{Address: notes, Cookie: router.Cookie(77, 0), Finish: true})
		_, finish := receive(backend, 20*time.Second)
		_, placed := receive(backend, time.Second)
		return finish && placed
	}, 60*time.Second, time.Second)
}

// An upstream loses power. Its flows were reset only once the upstream was known to have ended. That was
// later than balancers report that the upstream leaves packets unanswered. Callers waited until their
// deadlines, also on idle flows.
func TestFlowOfUnresponsiveUpstreamIsReset(t *testing.T) {
	voter := startVoter(t)
	publish(t, voter)
	caller, backend := listenUDP(t), listenUDP(t)
	announce(t, voter, addressOf(backend))
	b := startBalancer(t, voter.Address())
	t.Cleanup(b.Stop)
	require.Eventually(t, b.Ready, 5*time.Second, 5*time.Millisecond)
	send(t, caller, b, router.Packet{Opening: true})
	_, ok := receive(backend, 5*time.Second)
	require.True(t, ok)
	client := rpc.NewClient(voter.Address(), "group")
	t.Cleanup(client.Close)
	report := evidence.Report{From: "another", Events: []evidence.Event{
		{Incarnation: 77, Zone: "a", Weight: 7}, {Incarnation: 77, Zone: "a", Weight: 7}, {Incarnation: 77, Zone: "a", Weight: 7},
	}}
	_, err := rpc.Call[evidence.Report, struct{}](t.Context(), client, feed.ReportMethod, report)
	require.NoError(t, err)
	data, ok := receive(caller, 5*time.Second)
	require.True(t, ok)
	require.Equal(t, "reset", string(data))
}

// startInTree starts a balancer that others may follow, in a zone where one balancer follows
// the voters directly.
func startInTree(t *testing.T, voter string) *cookie.Balancer {
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Sources: []string{voter}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
		Codec: jsonCodec{}, Clock: time.Now, Rpc: "127.0.0.1:0", Announcements: "127.0.0.1:1",
		Shape: tree.Shape{Roots: 1, Fanout: 4}, StaleAfter: 2 * time.Second,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(context.Background())
	return b
}

// followersOf returns the balancers that follow another balancer.
func followersOf(all []*cookie.Balancer) []*cookie.Balancer {
	return lo.Filter(all, func(b *cookie.Balancer, _ int) bool { return b.FollowerStatus().Parent != "" })
}

// One of three balancers of a zone, the root, follows the voters. Upstreams, configurations and
// evacuations must reach all three, a follower must reject a departure, and the others must still
// receive updates after the root is killed.
func TestBalancersFollowEachOther(t *testing.T) {
	voter := startVoter(t)
	publish(t, voter)
	caller, backend := listenUDP(t), listenUDP(t)
	announce(t, voter, addressOf(backend))
	all := []*cookie.Balancer{startInTree(t, voter.Address()), startInTree(t, voter.Address()), startInTree(t, voter.Address())}
	for _, b := range all {
		t.Cleanup(b.Kill)
	}
	require.Eventually(t, func() bool { return len(followersOf(all)) == 2 }, 20*time.Second, 10*time.Millisecond)
	for _, b := range all {
		require.True(t, b.Ready())
		require.Equal(t, 1, b.FollowerStatus().Fresh)
	}
	follower := followersOf(all)[0]
	send(t, caller, follower, router.Packet{Opening: true})
	_, ok := receive(backend, 20*time.Second)
	require.True(t, ok)

	// An announcement to a follower reaches the voter, and from there all balancers.
	other := listenUDP(t)
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: addressOf(other), Incarnation: 78}, Zone: "a", Slots: 2, Sequence: 1,
	}
	require.NoError(t, follower.Announce(t.Context(), u, 0))
	for _, b := range all {
		require.Eventually(t, func() bool { return b.Upstreams() == 2 }, 20*time.Second, 10*time.Millisecond)
	}
	u.State = upstream.Draining
	var departure *cookie.DepartureError
	require.ErrorAs(t, follower.Announce(t.Context(), u, 0), &departure, "only voters accept departures")

	// A configuration change reaches the followers.
	_, err := voter.Voter().Publish(t.Context(), configuration.Configuration{
		Revision: 9, Services: []configuration.Service{{Name: "orders", Protocol: configuration.TCP}},
		Routes: []configuration.Route{{Name: "r", Address: orders, Service: "orders", Timeout: 2 * time.Second}},
	}, "second", "test")
	require.NoError(t, err)
	for _, b := range all {
		require.Eventually(t, func() bool { return b.Configuration().Revision == 9 }, 20*time.Second, 10*time.Millisecond)
	}

	// The start and the end of a zone's evacuation reach all balancers.
	for _, on := range []bool{true, false} {
		_, err = voter.Voter().Evacuate(t.Context(), "a", on, "test")
		require.NoError(t, err)
		for _, b := range all {
			require.Eventually(t, func() bool { return b.Evacuations().Evacuated("a") == on }, 20*time.Second, 10*time.Millisecond)
		}
	}

	// The followers keep receiving updates after the root is killed.
	root, _ := lo.Find(all, func(b *cookie.Balancer) bool { return b.FollowerStatus().Parent == "" })
	rest := lo.Without(all, root)
	root.Kill()
	require.NoError(t, voter.Upstreams().Announce(t.Context(), upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: addressOf(listenUDP(t)), Incarnation: 79}, Zone: "a", Slots: 2, Sequence: 1,
	}, 0))
	for _, b := range rest {
		require.Eventually(t, func() bool { return b.Upstreams() == 3 }, 20*time.Second, 10*time.Millisecond)
		require.Equal(t, 1, b.FollowerStatus().Fresh)
	}
}
