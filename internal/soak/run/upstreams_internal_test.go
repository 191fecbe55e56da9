package run

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/upstream"
)

// A departure whose time came while its run was ending did not stop the upstream, and neither did the run, which then
// never ended.
func TestUpstreamThatDepartsAtTheEndOfARunIsStopped(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	probeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	u := &simulatedUpstream{
		self: upstream.Upstream{Identity: upstream.Identity{Incarnation: 1}}, conn: conn, probeListener: probeListener, done: make(chan struct{}),
	}
	r := &Run{stopped: map[uint64]bool{}, upstreams: []*simulatedUpstream{u}, ended: true}
	u.run = r
	r.startGoroutine(u.serve)
	r.stopUpstream(u)
	r.close()
	_, open := <-u.done
	require.False(t, open)
}
