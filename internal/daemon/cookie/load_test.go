package cookie_test

import (
	"context"
	"net"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/daemon/cookie"
	"wasabideal/internal/fanout/tree"
)

// listenTCP listens on a port that is free for UDP too. Other processes on the machine may use one only.
func listenTCP(t *testing.T) net.Listener {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c, err := net.ListenPacket("udp4", l.Addr().String())
		if err == nil {
			require.NoError(t, c.Close())
			return l
		}
		require.NoError(t, l.Close())
	}
}

// freeAddress returns an address that is free for TCP and UDP.
func freeAddress(t *testing.T) string {
	l := listenTCP(t)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

func startLoadVoter(t *testing.T) *control.Control {
	l := listenTCP(t)
	self := agreement.Voter{Name: "v1", Address: l.Addr().String()}
	c, err := control.Listen(control.Settings{
		Name: "v1", DataFolder: t.TempDir(), Founders: []agreement.Voter{self}, Heartbeat: 10 * time.Millisecond,
		Election: 50 * time.Millisecond, Tick: 5 * time.Millisecond, AcceptTimeout: time.Second, CompactAfter: 8,
		GroupToken: "group", OperatorToken: "operator", Clock: time.Now, SilentAfter: time.Minute, SharedLoad: true,
	}, l, hclog.NewNullLogger())
	require.NoError(t, err)
	c.Start(context.Background())
	t.Cleanup(c.Stop)
	return c
}

// startLoadBalancer starts a balancer of a tree with one root in each zone.
func startLoadBalancer(t *testing.T, voter, zone, address string, shared bool) *cookie.Balancer {
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Rpc: address, Sources: []string{voter}, Zone: zone, Token: "group", StopTimeout: 10 * time.Second,
		Codec: jsonCodec{}, Clock: time.Now, Shape: tree.Shape{Small: 1, Roots: 1, Fanout: 8}, StaleAfter: 2 * time.Second, SharedLoad: shared,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(context.Background())
	t.Cleanup(b.Kill)
	return b
}

// metric returns the value of a metric, -1 if there is none.
func metric(t *testing.T, b *cookie.Balancer, name string) int {
	w := httptest.NewRecorder()
	b.ServeMetrics(w, nil)
	m := regexp.MustCompile("(?m)^wasabideal_" + name + " (.*)$").FindStringSubmatch(w.Body.String())
	if m == nil {
		return -1
	}
	n, err := strconv.Atoi(m[1])
	require.NoError(t, err)
	return n
}

// The parts of the exchange work, and the processes do not connect them: each balancer must learn the
// load of all balancers of all zones, through its parent too.
func TestBalancersShareTheirLoad(t *testing.T) {
	voter := startLoadVoter(t)
	var all []*cookie.Balancer
	for _, zone := range []string{"a", "a", "a", "b"} {
		all = append(all, startLoadBalancer(t, voter.Address(), zone, freeAddress(t), true))
	}
	followers := func() int {
		n := 0
		for _, b := range all {
			if b.FollowerStatus().Parent != "" {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool {
		for _, b := range all {
			if metric(t, b, "load_balancers") != len(all) || metric(t, b, "load_age_milliseconds") > 1000 {
				return false
			}
		}
		return followers() == 2
	}, 20*time.Second, 10*time.Millisecond)
	require.Positive(t, metric(t, all[0], "load_reports_sent_total"))
}

// With sharing off, a balancer must not use the UDP port: behaviour and bytes on the wire are then as
// before.
func TestBalancerWithoutSharedLoadOpensNoSocket(t *testing.T) {
	voter, address := startLoadVoter(t), freeAddress(t)
	b := startLoadBalancer(t, voter.Address(), "a", address, false)
	c, err := net.ListenPacket("udp4", address)
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Equal(t, -1, metric(t, b, "load_balancers"))
}

// Another process has the UDP port: the balancer must serve without the exchange.
func TestBalancerServesIfLoadSocketCannotBeOpened(t *testing.T) {
	voter, backend := startLoadVoter(t), listenUDP(t)
	taken, err := net.ListenPacket("udp4", freeAddress(t))
	require.NoError(t, err)
	defer func() { require.NoError(t, taken.Close()) }()
	b := startLoadBalancer(t, voter.Address(), "a", taken.LocalAddr().String(), true)
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
}
