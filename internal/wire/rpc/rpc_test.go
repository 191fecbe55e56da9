package rpc_test

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"wasabideal/internal/standin/rpctest"
	"wasabideal/internal/wire/rpc"
)

// TypedError is an error whose type name must reach the RPC client.
type TypedError struct{}

func (*TypedError) Error() string { return "typed" }

func serve(t *testing.T, l net.Listener) {
	s := rpc.NewServer(func(string) {})
	rpc.Handle(s, "Echo", "token", func(_ context.Context, in string) (string, error) {
		if in == "fail" {
			return "", &TypedError{}
		}
		return in, nil
	})
	rpctest.Server{Listener: l}.Serve(t, s)
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func echo(c *rpc.Client, text string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return rpc.Call[string, string](ctx, c, "Echo", text)
}

func TestErrorKindReachesCaller(t *testing.T) {
	l := listen(t)
	serve(t, l)
	c := rpc.NewClient(l.Addr().String(), "token")
	defer c.Close()
	out, err := echo(c, "hello", 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "hello", out)
	_, err = echo(c, "fail", 5*time.Second)
	var remote *rpc.RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "rpc_test.TypedError", remote.Kind)
}

// A device between client and server drops the state of a connection: nothing arrives, and no error
// is reported. A client waited forever on this connection, while new connections worked. It did so
// in a call without a deadline, or when it reused the connection after a deadline had passed.
func TestDeadConnectionIsClosedAndRedialled(t *testing.T) {
	front := listen(t)
	back := listen(t)
	serve(t, back)
	go forward(front, back.Addr().String())
	c := rpc.NewClient(front.Addr().String(), "token")
	defer c.Close()
	_, err := echo(c, "lost", 200*time.Millisecond)
	var lost *rpc.LostError
	require.ErrorAs(t, err, &lost)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	out, err := echo(c, "hello", 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "hello", out)
	_ = front.Close()
}

// forward does not serve the first connection and proxies all later connections.
func forward(l net.Listener, to string) {
	for n := 0; ; n++ {
		in, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		go pipe(in, out)
		go pipe(out, in)
	}
}

func pipe(from, to net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// unresponsiveAddress returns an address on which connection attempts hang, as for a VM without
// power: the queue of the listener is full, so the kernel drops SYN packets.
func unresponsiveAddress(t *testing.T) string {
	s, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(s) })
	require.NoError(t, unix.Bind(s, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(s, 0))
	name, err := unix.Getsockname(s)
	require.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*unix.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// After a power failure of all VMs, a balancer starts before a voter's VM. The SYN of the balancer
// is lost, and the kernel retransmits the SYN only after a second. The call waited for the
// connection until its deadline: balancers got the configuration after a second, although voters
// had it after a third of a second.
func TestHangingConnectionAttemptTimesOut(t *testing.T) {
	c := rpc.NewClient(unresponsiveAddress(t), "token")
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := rpc.Call[string, string](ctx, c, "Echo", "hello")
	var lost *rpc.LostError
	require.ErrorAs(t, err, &lost)
	require.NoError(t, ctx.Err())
}

// After a power failure of all VMs, each balancer fetches all upstreams and the configuration.
// Balancers with a link of 2 Mbit/s were ready 0.1 s after the first voter, and transferring the
// uncompressed responses took most of that time.
func TestLargeResponsesAreCompressed(t *testing.T) {
	l := listen(t)
	counted := &countingListener{Listener: l}
	serve(t, counted)
	c := rpc.NewClient(l.Addr().String(), "token")
	t.Cleanup(c.Close)
	text := strings.Repeat("an upstream in fi-south-a ", 1000)
	got, err := echo(c, text, time.Second)
	require.NoError(t, err)
	require.Equal(t, text, got)
	require.Less(t, counted.written.Load(), int64(len(text)/4))
	got, err = echo(c, "short", time.Second)
	require.NoError(t, err)
	require.Equal(t, "short", got)
}

// countingListener counts the bytes that its connections write and read.
type countingListener struct {
	net.Listener
	written, read atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, written: &l.written, read: &l.read}, err
}

type countingConn struct {
	net.Conn
	written, read *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// A root balancer forwards announcements in calls with large bodies that repeat the names of
// services and zones. Formerly, only responses were compressed, and the calls wasted bandwidth on
// the link of the root balancer.
func TestLargeCallsAreCompressed(t *testing.T) {
	l := listen(t)
	counted := &countingListener{Listener: l}
	serve(t, counted)
	c := rpc.NewClient(l.Addr().String(), "token")
	defer c.Close()
	text := strings.Repeat("order-desk port-tawfik ", 1000)
	out, err := echo(c, text, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, text, out)
	require.Less(t, counted.read.Load(), int64(len(text)/4))
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a link budget that ignores the traffic of RPC connections: both ends count the bytes
// of calls and answers, and the segments' headers.
func TestTrafficIsCountedAtBothEnds(t *testing.T) {
	var server, client rpc.Traffic
	l := listen(t)
	serve(t, server.Listener(l))
	c := rpc.NewClient(l.Addr().String(), "token").CountTraffic(&client)
	defer c.Close()
	const size = 400
	for range 10 {
		_, err := echo(c, strings.Repeat("x", size), 5*time.Second)
		require.NoError(t, err)
	}
	for _, traffic := range []*rpc.Traffic{&server, &client} {
		// The server counts a response after it was written, when the client may have it already.
		require.Eventually(t, func() bool {
			in, out := traffic.Bytes()
			return in > 10*(size+66) && out > 10*(size+66)
		}, 5*time.Second, time.Millisecond)
		in, out := traffic.Bytes()
		require.Less(t, in+out, int64(20*(size+400)))
	}
	var none *rpc.Traffic
	require.Equal(t, l, none.Listener(l), "nothing is counted without a Traffic")
}
