package proxy_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/soak/proxy"
)

// Datagrams must be lost in the directions in which connections carry no data. Otherwise a run cuts
// the calls to a voter but never the load reports.
func TestDatagramsAreLostAsConnections(t *testing.T) {
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	p, err := proxy.Listen("127.0.0.1:0", target.LocalAddr().String())
	require.NoError(t, err)
	defer p.Close()
	client, err := net.Dial("udp4", p.Address())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	for _, x := range []struct {
		fault            proxy.Fault
		arrive, answered bool
	}{
		{proxy.None, true, true},
		{proxy.OneWay, true, false},
		{proxy.Silence, false, false},
		{proxy.Refuse, false, false},
		{proxy.Delay, true, true},
		{proxy.None, true, true},
	} {
		p.Set(x.fault)
		// The socket that the reset closes must be replaced before the next datagram.
		p.Reset()
		time.Sleep(50 * time.Millisecond)
		_, err := client.Write([]byte(x.fault))
		require.NoError(t, err)
		b := make([]byte, 100)
		require.NoError(t, target.SetReadDeadline(deadline(x.arrive)))
		n, from, err := target.ReadFromUDPAddrPort(b)
		require.Equal(t, x.arrive, err == nil, x.fault)
		if err != nil {
			continue
		}
		_, err = target.WriteToUDPAddrPort(b[:n], from)
		require.NoError(t, err)
		require.NoError(t, client.SetReadDeadline(deadline(x.answered)))
		n, err = client.Read(b)
		require.Equal(t, x.answered, err == nil, x.fault)
		if err == nil {
			require.Equal(t, string(x.fault), string(b[:n]))
		}
	}
}

// deadline returns how long to wait for a datagram, which is short if none is expected.
func deadline(expected bool) time.Time {
	if expected {
		return time.Now().Add(20 * time.Second)
	}
	return time.Now().Add(300 * time.Millisecond)
}
