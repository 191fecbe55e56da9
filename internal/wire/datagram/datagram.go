package datagram

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
)

const (
	batchSize = 64
	// BufferSize is the receive buffer size of a datagram in bytes; longer datagrams are truncated.
	BufferSize   = 2048
	socketBuffer = 4 << 20
	// maxCachedAddresses bounds the cache of destination addresses.
	maxCachedAddresses = 4096
)

// Socket sends and receives UDP datagrams in batches.
type Socket struct {
	conn      *net.UDPConn
	batch     *ipv4.PacketConn
	in, out   []ipv4.Message
	queued    int
	addresses map[netip.AddrPort]*net.UDPAddr
}

// Listen opens a socket at an IPv4 address and port.
func Listen(address string) (*Socket, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, err
	}
	// The kernel may grant smaller buffers, which only increases packet loss in bursts.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	s := &Socket{conn: c, batch: ipv4.NewPacketConn(c), addresses: map[netip.AddrPort]*net.UDPAddr{}}
	s.in = make([]ipv4.Message, batchSize)
	for i := range s.in {
		s.in[i].Buffers = [][]byte{make([]byte, BufferSize)}
		s.in[i].OOB = make([]byte, controlSize)
	}
	return s, enableTimestamps(c)
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket; pending and later reads fail.
func (s *Socket) Close() { _ = s.conn.Close() }

// Read blocks until datagrams arrive and returns the number of datagrams.
func (s *Socket) Read() (int, error) { return s.batch.ReadBatch(s.in, 0) }

// Datagram returns the source and content of the i-th datagram. The content is valid until the next
// Read.
func (s *Socket) Datagram(i int) (netip.AddrPort, []byte) {
	m := &s.in[i]
	from := m.Addr.(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m.Buffers[0][:m.N]
}

// QueueDelay returns how long the i-th datagram waited in the socket's receive queue. If the kernel
// reports no timestamp, the result is zero. Kernel timestamps use the wall clock, so the result may
// be too long after a clock step.
func (s *Socket) QueueDelay(now time.Time, i int) time.Duration {
	m := &s.in[i]
	arrival, ok := parseTimestamp(m.OOB[:m.NN])
	if !ok {
		return 0
	}
	return now.Round(0).Sub(arrival).Abs()
}

// Queue adds a datagram to the next Flush; data must not change until then.
func (s *Socket) Queue(to netip.AddrPort, data []byte) {
	if s.queued == len(s.out) {
		s.out = append(s.out, ipv4.Message{Buffers: [][]byte{nil}})
	}
	m := &s.out[s.queued]
	m.Buffers[0] = data
	m.Addr = s.resolve(to)
	s.queued++
}

func (s *Socket) resolve(to netip.AddrPort) *net.UDPAddr {
	if a := s.addresses[to]; a != nil {
		return a
	}
	if len(s.addresses) >= maxCachedAddresses {
		clear(s.addresses)
	}
	a := net.UDPAddrFromAddrPort(to)
	s.addresses[to] = a
	return a
}

// Flush sends the queued datagrams. A datagram that the kernel rejects is skipped, as if the
// network had lost it. The error is that of the last skipped datagram.
func (s *Socket) Flush() error {
	var failed error
	for sent := 0; sent < s.queued; {
		n, err := s.batch.WriteBatch(s.out[sent:s.queued], 0)
		if err != nil {
			failed = err
			n = max(n, 1)
		}
		sent += n
	}
	s.queued = 0
	return failed
}
