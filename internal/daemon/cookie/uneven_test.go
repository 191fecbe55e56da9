package cookie_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/daemon/cookie"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/upstream"
)

// unevenPlay sends requests, one for each flow, through balancers to upstreams of which one may reject
// all requests.
type unevenPlay struct {
	caller  *net.UDPConn
	placed  chan router.Verdict
	flows   int
	rejects atomic.Bool
}

func (p *unevenPlay) receive(backend *net.UDPConn) {
	for {
		data, ok := receive(backend, time.Minute)
		if !ok {
			return
		}
		var v router.Verdict
		if json.Unmarshal(data, &v) == nil && v.Reason == router.Placed {
			p.placed <- v
		}
	}
}

// request opens a flow, and sends a request and closes the flow in the background.
func (p *unevenPlay) request(t *testing.T, b *cookie.Balancer) {
	p.flows++
	x := router.Packet{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(p.flows >> 8), byte(p.flows)}), 4000), Address: orders}
	write := func(x router.Packet) {
		data, err := json.Marshal(x)
		if err == nil {
			_, _ = p.caller.WriteToUDPAddrPort(data, b.Address())
		}
	}
	x.Opening = true
	write(x)
	var v router.Verdict
	select {
	case v = <-p.placed:
	case <-time.After(200 * time.Millisecond):
		return
	case <-t.Context().Done():
		return
	}
	x.Opening, x.Cookie, x.Sequence, x.Acknowledged, x.Length = false, v.Cookie, 1, 1, 300
	write(x)
	size, work := uint32(8000), 30*time.Millisecond
	if p.rejects.Load() && v.Incarnation == 1 {
		size, work = 100, time.Millisecond
	}
	time.AfterFunc(work, func() {
		x.Sequence, x.Length, x.Acknowledged, x.Finish = 301, 0, 1+size, true
		write(x)
	})
}

// An upstream rejects all requests while its health check passes. Its weight must fall at a balancer
// that follows the voters and at one that follows another balancer, and recover after the end.
func TestUnevenUpstreamIsReducedAtAllBalancers(t *testing.T) {
	voter := startVoter(t)
	publish(t, voter)
	p := &unevenPlay{caller: listenUDP(t), placed: make(chan router.Verdict, 64)}
	for n := range uint64(6) {
		backend := listenUDP(t)
		announceUneven(t, voter, addressOf(backend), n+1)
		go p.receive(backend)
	}
	var all []*cookie.Balancer
	// Voters tell balancers apart by the Fabric setting.
	for _, fabric := range []string{"127.0.0.1:0", "127.0.0.2:0"} {
		b, err := cookie.Listen(cookie.Settings{
			Fabric: fabric, Sources: []string{voter.Address()}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
			Codec: jsonCodec{}, Clock: time.Now, Rpc: "127.0.0.1:0", Announcements: "127.0.0.1:1",
			Shape: tree.Shape{Roots: 1, Fanout: 4}, StaleAfter: 2 * time.Second, SharedLoad: true, UnevenUpstreams: true,
		}, hclog.NewNullLogger())
		require.NoError(t, err)
		b.Start(context.Background())
		t.Cleanup(b.Kill)
		all = append(all, b)
	}
	require.Eventually(t, func() bool { return len(followersOf(all)) == 1 && all[0].Ready() && all[1].Ready() }, 20*time.Second, 10*time.Millisecond)
	playUntil := func(done func() bool) {
		for end := time.Now().Add(time.Minute); !done(); {
			require.True(t, time.Now().Before(end))
			for _, b := range all {
				p.request(t, b)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	reduced := func(n string) bool {
		for _, b := range all {
			w := httptest.NewRecorder()
			b.ServeMetrics(w, nil)
			if !strings.Contains(w.Body.String(), "wasabideal_upstreams_reduced "+n+"\n") {
				return false
			}
		}
		return true
	}
	start := time.Now()
	playUntil(func() bool { return time.Since(start) > time.Second })
	require.True(t, reduced("0"))
	p.rejects.Store(true)
	start = time.Now()
	playUntil(func() bool { return reduced("1") })
	t.Logf("reduced at both balancers after %v", time.Since(start).Round(time.Millisecond))
	p.rejects.Store(false)
	start = time.Now()
	playUntil(func() bool { return reduced("0") })
	t.Logf("restored at both balancers after %v", time.Since(start).Round(time.Millisecond))
}

func announceUneven(t *testing.T, voter *control.Control, at netip.AddrPort, incarnation uint64) {
	require.NoError(t, voter.Upstreams().Announce(t.Context(), upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: at, Incarnation: incarnation}, Zone: "a", Slots: 2, Sequence: 1,
	}, 0))
}
