package datagram_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/wire/datagram"
)

// A datagram waits in the receive queue until the process is scheduled. Guards against a reported
// queue delay of zero.
func TestQueueDelayIsMeasured(t *testing.T) {
	s, err := datagram.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(s.Close)
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Address()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	begun := time.Now()
	_, err = c.Write([]byte("early"))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	n, err := s.Read()
	require.NoError(t, err)
	require.Equal(t, 1, n)
	now := time.Now()
	require.GreaterOrEqual(t, s.QueueDelay(now, 0), 100*time.Millisecond)
	require.LessOrEqual(t, s.QueueDelay(now, 0), now.Sub(begun))
}
