package control_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/wire/rpc"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/socket"
)

// listenBoth listens on a TCP port that is free for UDP too. Other processes on the machine may use one
// only.
func listenBoth(t *testing.T) net.Listener {
	for {
		l := listen(t, "127.0.0.1:0")
		c, err := net.ListenPacket("udp4", l.Addr().String())
		if err == nil {
			require.NoError(t, c.Close())
			return l
		}
		require.NoError(t, l.Close())
	}
}

// startLoadVoter starts a single voter that answers load reports if shared is set.
func startLoadVoter(t *testing.T, shared bool) *control.Control {
	l := listenBoth(t)
	self := agreement.Voter{Name: "v1", Address: l.Addr().String()}
	c, err := control.Listen(control.Settings{
		Name: "v1", DataFolder: t.TempDir(), Founders: []agreement.Voter{self}, Heartbeat: 30 * time.Millisecond,
		Election: 150 * time.Millisecond, Tick: 10 * time.Millisecond, AcceptTimeout: time.Second, CompactAfter: 8,
		GroupToken: "group", OperatorToken: "operator", Clock: time.Now, SilentAfter: time.Second, SharedLoad: shared,
	}, l, hclog.NewNullLogger())
	require.NoError(t, err)
	c.Start(context.Background())
	t.Cleanup(c.Stop)
	return c
}

// sender sends load reports as a balancer does.
type sender struct {
	*socket.Socket
	zone     string
	slots    float64
	sequence uint64
	answers  chan report.Answer
}

func (s *sender) OnReport(report.Report, time.Duration) [][]byte { return nil }

func (s *sender) OnAnswer(_ netip.AddrPort, a report.Answer) { s.answers <- a }

func (s *sender) OnError(error) {}

func newSender(t *testing.T, zone string, slots float64) *sender {
	l, err := socket.Listen("127.0.0.1:0", "group")
	require.NoError(t, err)
	t.Cleanup(l.Close)
	s := &sender{Socket: l, zone: zone, slots: slots, answers: make(chan report.Answer, 1000)}
	go l.Serve(s)
	return s
}

// exchange sends a report and returns the zones of the answer, and false if there is none.
func (s *sender) exchange(t *testing.T, to string, wait time.Duration) (map[string]report.Zone, bool) {
	s.sequence++
	require.NoError(t, s.Send(report.Report{
		Origin: s.Address().String(), Life: 1, Sequence: s.sequence, Zone: s.zone, Balancers: 1,
		Services: []report.Service{{Name: "orders", Occupied: map[string]float64{"a": s.slots}}},
	}, []string{to}))
	select {
	case a := <-s.answers:
		out := map[string]report.Zone{}
		for _, z := range a.Zones {
			out[z.Name] = z
		}
		return out, true
	case <-time.After(wait):
		return nil, false
	}
}

// A voter that sums wrongly, or that does not say how many balancers are missing in a sum, makes a zone
// look less loaded than it is.
func TestVoterAnswersLoadReportsWithSumsByZone(t *testing.T) {
	c := startLoadVoter(t, true)
	client := rpc.NewClient(c.Address(), "group")
	defer client.Close()
	for _, address := range []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"} {
		_, err := rpc.Call[feed.Request, feed.Response](t.Context(), client, feed.SinceMethod, feed.Request{
			From: address, Self: &member.Member{Zone: "a", Address: address},
		})
		require.NoError(t, err)
	}
	one, two, other := newSender(t, "a", 10), newSender(t, "a", 5), newSender(t, "b", 7)
	var zones map[string]report.Zone
	require.Eventually(t, func() bool {
		for _, s := range []*sender{two, other, one} {
			zones, _ = s.exchange(t, c.Address(), time.Second)
		}
		return len(zones) == 2
	}, timeout, pollInterval)
	require.Equal(t, 2, zones["a"].Balancers)
	require.Equal(t, 3, zones["a"].Known)
	require.InDelta(t, 15, zones["a"].Services[0].Occupied["a"], 0.1)
	require.Equal(t, 1, zones["b"].Balancers)
	require.InDelta(t, 7, zones["b"].Services[0].Total(), 0.1)
}

// A voter that takes over knows the first balancer only: its sum showed a zone with little load, and
// balancers admitted too much.
func TestVoterAnswersWithoutZonesUntilEachBalancerHasReported(t *testing.T) {
	c := startLoadVoter(t, true)
	one, two := newSender(t, "a", 10), newSender(t, "a", 5)
	zones, answered := one.exchange(t, c.Address(), timeout)
	require.True(t, answered, "the sender must know that the voter takes part")
	require.Empty(t, zones)
	require.Eventually(t, func() bool {
		zones, _ = two.exchange(t, c.Address(), time.Second)
		require.NotEqual(t, 1, zones["a"].Balancers)
		_, _ = one.exchange(t, c.Address(), time.Second)
		return len(zones) > 0
	}, timeout, pollInterval)
}

// With sharing off, the voter must not use its UDP port: behaviour is then as before.
func TestVoterWithoutSharedLoadOpensNoSocket(t *testing.T) {
	c := startLoadVoter(t, false)
	l, err := net.ListenPacket("udp4", c.Address())
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

// Another process has the UDP port: the voter must serve without the load exchange.
func TestVoterServesIfLoadSocketCannotBeOpened(t *testing.T) {
	l := listenBoth(t)
	taken, err := net.ListenPacket("udp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, taken.Close()) }()
	self := agreement.Voter{Name: "v1", Address: l.Addr().String()}
	c, err := control.Listen(control.Settings{
		Name: "v1", DataFolder: t.TempDir(), Founders: []agreement.Voter{self}, Heartbeat: 30 * time.Millisecond,
		Election: 150 * time.Millisecond, Tick: 10 * time.Millisecond, AcceptTimeout: time.Second, CompactAfter: 8,
		GroupToken: "group", OperatorToken: "operator", Clock: time.Now, SilentAfter: time.Second, SharedLoad: true,
	}, l, hclog.NewNullLogger())
	require.NoError(t, err)
	c.Start(t.Context())
	defer c.Stop()
	fetchUpstreams(t, c.Address())
}
