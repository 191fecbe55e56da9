package balancer_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/setting/defaults"
	"wasabideal/internal/setting/settings"
	"wasabideal/internal/setting/wiring"
	"wasabideal/internal/standin/segment"
	"wasabideal/internal/wire/gue"
	"wasabideal/internal/wire/rpc"
)

const anyPort = "127.0.0.1:0"

var service = netip.MustParseAddrPort("10.20.0.1:443")

func start(tb testing.TB) *balancer.Balancer {
	s := settings.Settings{
		Name: "b1", Zone: "Adabiya", GroupToken: "group-token-000001", OperatorToken: "operator-token-0001",
		Listen: settings.Listen{
			Fabric: anyPort, Peer: anyPort, Rpc: anyPort, Admin: anyPort, Door: []settings.HTTPListener{{Service: "orders", Address: anyPort}},
		},
	}
	x, err := wiring.Wiring{Clock: time.Now}.Balancer(defaults.Defaults{}.Apply(s))
	require.NoError(tb, err)
	b, err := balancer.Listen(x, hclog.NewNullLogger())
	require.NoError(tb, err)
	b.Start(context.Background())
	tb.Cleanup(b.Kill)
	sum := sha256.Sum256([]byte("join"))
	b.Offer(configuration.Configuration{
		Revision: 1, InForce: "ordinary", Presets: []configuration.Preset{{Name: "ordinary", SlotLimit: 2}},
		Services: []configuration.Service{{
			Name: "orders", Protocol: configuration.TCP, Addresses: []netip.AddrPort{service}, TokenSha256: hex.EncodeToString(sum[:]),
		}},
	})
	return b
}

func TestAnnouncementsRequireServiceToken(t *testing.T) {
	b := start(t)
	post := func(token, body string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+b.Addresses().Admin+"/announce", strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	good := `{"Service":"orders","Address":"127.0.0.9:6080","Incarnation":5,"Sequence":1,"Slots":2,"State":"Ready"}`
	require.Equal(t, http.StatusForbidden, post("wrong", good))
	require.Equal(t, http.StatusNoContent, post("join", good))
	require.Equal(t, http.StatusConflict, post("join", strings.Replace(good, ":5", ":4", 1)))
	require.Equal(t, http.StatusNotFound, post("join", strings.Replace(good, "orders", "nothing", 1)))
	require.Equal(t, http.StatusBadRequest, post("join", strings.Replace(good, "Ready", "Asleep", 1)))
	require.Equal(t, http.StatusBadRequest, post("join", `{"Unknown":1}`))
	require.Equal(t, http.StatusBadRequest, post("join", strings.Repeat("x", 10_000)))
	require.Len(t, b.Status().Upstreams, 1)
}

func TestStaleConfigurationIsIgnored(t *testing.T) {
	b := start(t)
	c := b.Configuration()
	b.Offer(c.WithRevision(7))
	b.Offer(c.WithRevision(3))
	require.EqualValues(t, 7, b.Configuration().Revision)
}

func TestCallsRequireToken(t *testing.T) {
	b := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := rpc.NewClient(b.Addresses().Rpc, "wrong")
	defer c.Close()
	_, err := rpc.Call[struct{}, struct{}](ctx, c, balancer.DrainMethod, struct{}{})
	var remote *rpc.RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "rpc.DeniedError", remote.Kind)
	select {
	case <-b.StopRequested():
		t.Fatal("a call without a valid token requested a stop")
	default:
	}
}

// BenchmarkSockets sends packets of an established flow through real sockets.
func BenchmarkSockets(b *testing.B) {
	node := start(b)
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	defer func() { _ = sink.Close() }()
	_ = sink.SetReadBuffer(8 << 20)
	u := upstream.Upstream{Identity: upstream.Identity{Service: "orders", Address: sink.LocalAddr().(*net.UDPAddr).AddrPort(), Incarnation: 1}, Slots: 2}
	require.NoError(b, node.Announce(u, "join"))
	source, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(node.Addresses().Fabric))
	require.NoError(b, err)
	defer func() { _ = source.Close() }()
	send := func(syn bool) {
		p, err := segment.Segment{Source: netip.MustParseAddrPort("100.64.0.1:4000"), Destination: service, SYN: syn, ACK: !syn}.Packet()
		require.NoError(b, err)
		h := gue.New()
		_, _ = source.Write(append(h[:len(h):len(h)], p...))
	}
	send(true)
	buffer := make([]byte, 2048)
	_, err = sink.Read(buffer)
	require.NoError(b, err)
	done := make(chan int)
	go func() {
		n := 0
		for {
			_ = sink.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			if _, err := sink.Read(buffer); err != nil {
				done <- n
				return
			}
			n++
		}
	}()
	b.ResetTimer()
	for range b.N {
		send(false)
	}
	b.StopTimer()
	b.ReportMetric(float64(<-done)/float64(b.N), "delivered/sent")
}

// TestInvalidDatagramsAreDroppedAndCounted sends an invalid datagram to each port.
func TestInvalidDatagramsAreDroppedAndCounted(t *testing.T) {
	b := start(t)
	for _, to := range []netip.AddrPort{b.Addresses().Fabric, b.Addresses().Peer} {
		c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
		require.NoError(t, err)
		_, err = c.Write([]byte("garbage"))
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool { return b.Status().Refused == 2 }, 10*time.Second, time.Millisecond)
}

// TestHTTPListenerServesHTTP1AndHTTP2 sends requests in HTTP/1.1 and HTTP/2 for a service
// without upstreams: the response must say that the request was not run.
func TestHTTPListenerServesHTTP1AndHTTP2(t *testing.T) {
	b := start(t)
	for _, major := range []int{1, 2} {
		p := new(http.Protocols)
		p.SetHTTP1(major == 1)
		p.SetUnencryptedHTTP2(major == 2)
		transport := &http.Transport{Protocols: p}
		client := &http.Client{Transport: transport}
		response, err := client.Post("http://"+b.Addresses().Doors["orders"]+"/nominate", "text/plain", strings.NewReader("barge"))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		transport.CloseIdleConnections()
		require.Equal(t, major, response.ProtoMajor)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "NotRun", response.Header.Get("Wasabideal-Outcome"))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
}
