package datagram

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
)

const (
	batchSize = 64
	// Size is the longest datagram that is read whole.
	Size         = 2048
	socketBuffer = 4 << 20
	// addressCache bounds the remembered socket addresses.
	addressCache = 4096
)

// Socket reads and writes UDP datagrams in batches.
type Socket struct {
	conn    *net.UDPConn
	batch   *ipv4.PacketConn
	in, out []ipv4.Message
	queued  int
	known   map[netip.AddrPort]*net.UDPAddr
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
	// The kernel may grant less; more loss under bursts is then all that follows.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	s := &Socket{conn: c, batch: ipv4.NewPacketConn(c), known: map[netip.AddrPort]*net.UDPAddr{}}
	s.in = make([]ipv4.Message, batchSize)
	for i := range s.in {
		s.in[i].Buffers = [][]byte{make([]byte, Size)}
		s.in[i].OOB = make([]byte, stampSize)
	}
	return s, stampArrivals(c)
}

// Address returns where the socket listens.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close ends pending and later reads.
func (s *Socket) Close() { _ = s.conn.Close() }

// Read waits for datagrams and returns how many there are.
func (s *Socket) Read() (int, error) { return s.batch.ReadBatch(s.in, 0) }

// Datagram returns one of those read, valid until the next Read.
func (s *Socket) Datagram(i int) (netip.AddrPort, []byte) {
	m := &s.in[i]
	from := m.Addr.(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m.Buffers[0][:m.N]
}

// Waited returns how long one of those read waited in the socket's queue, zero where the kernel
// does not tell. It goes by the time of day, as the kernel does: after a step of that in
// between, it may be too long.
func (s *Socket) Waited(now time.Time, i int) time.Duration {
	m := &s.in[i]
	arrived, told := stamp(m.OOB[:m.NN])
	if !told {
		return 0
	}
	return now.Round(0).Sub(arrived).Abs()
}

// Queue keeps a datagram until Flush; data must stay unchanged until then.
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
	if a := s.known[to]; a != nil {
		return a
	}
	if len(s.known) >= addressCache {
		clear(s.known)
	}
	a := net.UDPAddrFromAddrPort(to)
	s.known[to] = a
	return a
}

// Flush sends what is queued; a refused datagram is skipped, as if lost on the way.
func (s *Socket) Flush() error {
	var failed error
	for at := 0; at < s.queued; {
		n, err := s.batch.WriteBatch(s.out[at:s.queued], 0)
		if err != nil {
			failed = err
			n = max(n, 1)
		}
		at += n
	}
	s.queued = 0
	return failed
}
