package cookie_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/daemon/cookie"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/wire/rpc"
	"wasabideal/internal/zoneload/status"
)

func loadStatus(t *testing.T, address, token string) (status.Status, error) {
	c := rpc.NewClient(address, token)
	defer c.Close()
	return rpc.Call[struct{}, status.Status](t.Context(), c, status.Method, struct{}{})
}

// Guards against a view that operators cannot read at a running balancer and voter, and against reports
// without the state of the VM's link.
func TestLoadStatusOfBalancerAndVoter(t *testing.T) {
	voter, backend, address := startLoadVoter(t), listenUDP(t), freeAddress(t)
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Rpc: address, Sources: []string{voter.Address()}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
		Codec: jsonCodec{}, Clock: time.Now, Shape: tree.Shape{Small: 1, Roots: 1, Fanout: 8}, StaleAfter: 2 * time.Second,
		SharedLoad: true, LinkBytesPerSecond: 250_000,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(t.Context())
	t.Cleanup(b.Kill)
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	caller, opened := listenUDP(t), 0
	open := func() {
		for range 20 {
			opened++
			p := router.Packet{Opening: true, Address: orders, Caller: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(opened))}
			data, err := json.Marshal(p)
			require.NoError(t, err)
			_, err = caller.WriteToUDPAddrPort(data, b.Address())
			require.NoError(t, err)
		}
	}
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
	complete := func(s status.Status, err error) bool {
		if err != nil || len(s.Zones) != 1 {
			return false
		}
		z := s.Zones[0]
		return s.Shared && z.Name == "a" && z.Age < time.Second && z.Balancers == 1 && z.LinkUse > 0 &&
			lo.ContainsBy(z.Services, func(x status.Service) bool { return x.Name == "orders" })
	}
	require.Eventually(t, func() bool {
		open()
		return complete(loadStatus(t, voter.Address(), "operator"))
	}, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		open()
		s, err := loadStatus(t, address, "group")
		return complete(s, err) && s.Version > 0 && s.Balancer.Zone == "a" && s.Balancer.LinkAdmission &&
			s.Balancer.LinkUse > 0 && len(s.Balancer.Services) == 1 && s.Balancer.Services[0].Service == "orders"
	}, 20*time.Second, 10*time.Millisecond)
	_, err = loadStatus(t, address, "wrong")
	require.ErrorContains(t, err, "token")
}
