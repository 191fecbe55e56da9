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
	"wasabideal/internal/silence/word"
	"wasabideal/internal/wire/rpc"
)

// plain is a codec of JSON packets.
type plain struct{}

func (plain) Decode(b []byte) (router.Packet, error) {
	var p router.Packet
	if err := json.Unmarshal(b, &p); err != nil {
		return p, err
	}
	return p, nil
}

func (plain) Forward(buffer, data []byte, v router.Verdict) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return buffer
	}
	return append(buffer, b...)
}

func (plain) Reset(buffer []byte, p router.Packet) (netip.AddrPort, []byte) {
	return p.Caller, append(buffer, "reset"...)
}

func listenUDP(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// receive returns the next datagram within a while.
func receive(c *net.UDPConn, d time.Duration) ([]byte, bool) {
	b := make([]byte, 2048)
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return nil, false
	}
	n, err := c.Read(b)
	return b[:n], err == nil
}

func startVoter(t *testing.T) *control.Control {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	self := agreement.Voter{Name: "v1", Address: l.Addr().String()}
	c, err := control.Listen(control.Settings{
		Name: "v1", DataFolder: t.TempDir(), Founders: []agreement.Voter{self}, Heartbeat: 10 * time.Millisecond,
		Election: 50 * time.Millisecond, Tick: 5 * time.Millisecond, AcceptTimeout: time.Second, CompactAfter: 8,
		GroupToken: "group", OperatorToken: "operator", Clock: time.Now, SilentAfter: time.Minute,
	}, l, hclog.NewNullLogger())
	require.NoError(t, err)
	c.Start(context.Background())
	t.Cleanup(c.Stop)
	return c
}

func startBalancer(t *testing.T, voter string) *cookie.Balancer { return startOnLink(t, voter, 0) }

// startOnLink starts a balancer on a VM with a link of so many bytes a second.
func startOnLink(t *testing.T, voter string, bytesPerSecond float64) *cookie.Balancer {
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Sources: []string{voter}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
		Codec: plain{}, Clock: time.Now, LinkBytesPerSecond: bytesPerSecond,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(context.Background())
	return b
}

var (
	orders = netip.MustParseAddrPort("198.18.0.1:443")
	notes  = netip.MustParseAddrPort("198.18.0.2:443")
)

func publish(t *testing.T, c *control.Control) {
	require.Eventually(t, func() bool {
		_, err := c.Voter().Publish(t.Context(), configuration.Configuration{
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

func announce(t *testing.T, c *control.Control, at netip.AddrPort) {
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: at, Incarnation: 77}, Zone: "a", Slots: 2, Sequence: 1,
	}
	require.NoError(t, c.Upstreams().Announce(t.Context(), u, 0))
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

// Symptom: after a loss of power everywhere callers waited for their next
// repetition, up to 1.6 s, although all processes ran.
// Events: a caller's opening reaches a balancer that no voter has answered yet.
// Cause: it was dropped.
func TestOpeningBeforeTheConfigurationIsPlacedWithIt(t *testing.T) {
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
		// A slow machine: the packet was kept for its time and no longer.
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

// Symptom: a planned stop cut requests.
// Events: a balancer is asked to stop; the fabric goes on sending to it until
// two readiness checks have failed.
// Cause: it ended, or stopped forwarding, before that.
func TestPlannedStopForwardsUntilNothingComes(t *testing.T) {
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
	require.NoError(t, err, "the port is free again")
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

// Symptom: uploads were refused at three balancers in a row and failed.
// Events: a third upload is opened over a link that carries two at once; one of the
// two ends a moment later.
// Cause: the third was refused at once.
func TestThirdUploadWaitsAMomentForAPlace(t *testing.T) {
	voter, backend := startVoter(t), listenUDP(t)
	b := startOnLink(t, voter.Address(), 250_000)
	t.Cleanup(b.Kill)
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
	open := func(caller *net.UDPConn) { send(t, caller, b, router.Packet{Address: notes, Opening: true}) }
	first, second, third := listenUDP(t), listenUDP(t), listenUDP(t)
	// A slow machine lets the third wait too long; it is refused then and tries again.
	require.Eventually(t, func() bool {
		open(first)
		open(second)
		for range 2 {
			_, ok := receive(backend, 20*time.Second)
			require.True(t, ok)
		}
		open(third)
		send(t, first, b, router.Packet{Address: notes, Cookie: router.Cookie(77, 0), Finish: true})
		_, finish := receive(backend, 20*time.Second)
		_, placed := receive(backend, time.Second)
		return finish && placed
	}, 60*time.Second, time.Second)
}

// Symptom: callers waited for an upstream without power until their deadlines, on flows
// that had been idle, too.
// Events: a flow is opened at an upstream; balancers report that it leaves packets
// unanswered.
// Cause: flows were reset only once an upstream had certainly ended.
func TestFlowOfAnUnresponsiveUpstreamIsReset(t *testing.T) {
	c := startVoter(t)
	publish(t, c)
	caller, serves := listenUDP(t), listenUDP(t)
	announce(t, c, addressOf(serves))
	b := startBalancer(t, c.Address())
	t.Cleanup(b.Stop)
	require.Eventually(t, b.Ready, 5*time.Second, 5*time.Millisecond)
	send(t, caller, b, router.Packet{Opening: true})
	_, ok := receive(serves, 5*time.Second)
	require.True(t, ok)
	client := rpc.NewClient(c.Address(), "group")
	t.Cleanup(client.Close)
	report := word.Report{From: "another", Events: []word.Event{
		{Incarnation: 77, Zone: "a", Weight: 7}, {Incarnation: 77, Zone: "a", Weight: 7}, {Incarnation: 77, Zone: "a", Weight: 7},
	}}
	_, err := rpc.Call[word.Report, struct{}](t.Context(), client, feed.ReportMethod, report)
	require.NoError(t, err)
	data, ok := receive(caller, 5*time.Second)
	require.True(t, ok)
	require.Equal(t, "reset", string(data))
}

// startInTree starts a balancer that others may follow, in a zone of which one follows the
// voters.
func startInTree(t *testing.T, voter string) *cookie.Balancer {
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Sources: []string{voter}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
		Codec: plain{}, Clock: time.Now, Rpc: "127.0.0.1:0", Announcements: "127.0.0.1:1",
		Shape: tree.Shape{Roots: 1, Fanout: 4}, StaleAfter: 2 * time.Second,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(context.Background())
	return b
}

// follows returns the balancers that follow another one.
func follows(all []*cookie.Balancer) []*cookie.Balancer {
	return lo.Filter(all, func(b *cookie.Balancer, _ int) bool { return b.Standing().Parent != "" })
}

// The whole path between balancers: three of a zone, one of which follows the voters.
// Upstreams, a configuration and a departure reach all of them; when the one at the top
// ends, the others find their way, and what was announced through them stays known.
func TestBalancersFollowEachOther(t *testing.T) {
	c := startVoter(t)
	publish(t, c)
	caller, serves := listenUDP(t), listenUDP(t)
	announce(t, c, addressOf(serves))
	all := []*cookie.Balancer{startInTree(t, c.Address()), startInTree(t, c.Address()), startInTree(t, c.Address())}
	for _, b := range all {
		t.Cleanup(b.Kill)
	}
	require.Eventually(t, func() bool { return len(follows(all)) == 2 }, 20*time.Second, 10*time.Millisecond)
	for _, b := range all {
		require.True(t, b.Ready())
		require.Equal(t, 1, b.Standing().Fresh)
	}
	below := follows(all)[0]
	send(t, caller, below, router.Packet{Opening: true})
	_, ok := receive(serves, 20*time.Second)
	require.True(t, ok)

	// An announcement through a follower reaches the voter, and from there all of them.
	other := listenUDP(t)
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: addressOf(other), Incarnation: 78}, Zone: "a", Slots: 2, Sequence: 1,
	}
	require.NoError(t, below.Announce(t.Context(), u, 0))
	for _, b := range all {
		require.Eventually(t, func() bool { return b.Upstreams() == 2 }, 20*time.Second, 10*time.Millisecond)
	}
	u.State = upstream.Draining
	var departure *cookie.DepartureError
	require.ErrorAs(t, below.Announce(t.Context(), u, 0), &departure, "departures are the voters'")

	// A change reaches those below.
	_, err := c.Voter().Publish(t.Context(), configuration.Configuration{
		Revision: 9, Services: []configuration.Service{{Name: "orders", Protocol: configuration.TCP}},
		Routes: []configuration.Route{{Name: "r", Address: orders, Service: "orders", Timeout: 2 * time.Second}},
	}, "second", "test")
	require.NoError(t, err)
	for _, b := range all {
		require.Eventually(t, func() bool { return b.Held().Revision == 9 }, 20*time.Second, 10*time.Millisecond)
	}

	// So does an order for a zone, both ways.
	for _, on := range []bool{true, false} {
		_, err = c.Voter().Evacuate(t.Context(), "a", on, "test")
		require.NoError(t, err)
		for _, b := range all {
			require.Eventually(t, func() bool { return b.Evacuations().Evacuated("a") == on }, 20*time.Second, 10*time.Millisecond)
		}
	}

	// The one at the top ends.
	top, _ := lo.Find(all, func(b *cookie.Balancer) bool { return b.Standing().Parent == "" })
	rest := lo.Without(all, top)
	top.Kill()
	require.NoError(t, c.Upstreams().Announce(t.Context(), upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: addressOf(listenUDP(t)), Incarnation: 79}, Zone: "a", Slots: 2, Sequence: 1,
	}, 0))
	for _, b := range rest {
		require.Eventually(t, func() bool { return b.Upstreams() == 3 }, 20*time.Second, 10*time.Millisecond)
		require.Equal(t, 1, b.Standing().Fresh)
	}
}
