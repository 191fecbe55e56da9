package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"wasabideal/internal/standin/announcer"
	"wasabideal/internal/standin/caller"
	"wasabideal/internal/standin/segment"
	"wasabideal/internal/wire/gue"
)

const readSize = 4096

// Settings configures a simulated upstream.
type Settings struct {
	Name, Service, Zone, Token string
	// Addresses are the addresses of the service; a packet to any other address is misdelivered.
	Addresses []netip.AddrPort
	Slots     uint16
	// MeanServiceTime is the mean processing time of a request.
	MeanServiceTime time.Duration
	// Callers is the address to which replies are sent.
	Callers netip.AddrPort
	// Balancers returns the admin addresses for announcements, in order of preference.
	Balancers        func() []string
	AnnounceInterval time.Duration
	Seed             uint64
}

// Counts holds what an upstream has received and sent.
type Counts struct {
	// Accepted counts opened flows, and Open the flows that are still open. Resets counts packets that
	// were answered with a reset because their flow is not open.
	Accepted, Open, Misdelivered, Resets int
	// LastArrival is the time of the latest new flow or request.
	LastArrival time.Time
	// Runs counts the executions of each request key.
	Runs map[string]int
}

type connection struct {
	seq, ack  uint32
	lastReply []byte
}

// Upstream is a running simulated upstream.
type Upstream struct {
	settings  Settings
	mu        sync.Mutex
	conn      *net.UDPConn
	listener  net.Listener
	server    *http.Server
	announcer *announcer.Announcer
	open      map[netip.AddrPort]*connection
	counts    Counts
	usedSlots int
	random    *rand.Rand
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	draining  bool
}

// Start opens the sockets of the upstream and starts announcing it.
func Start(ctx context.Context, s Settings) (*Upstream, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("open GUE socket: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open HTTP listener: %w", err)
	}
	_ = conn.SetReadBuffer(1 << 20)
	ctx, cancel := context.WithCancel(ctx)
	u := &Upstream{
		settings: s, conn: conn, listener: listener, open: map[netip.AddrPort]*connection{}, cancel: cancel,
		random: rand.New(rand.NewPCG(s.Seed, 3)), counts: Counts{Runs: map[string]int{}},
	}
	u.announcer = announcer.New(announcer.Announcement{
		Service: s.Service, Address: u.Address().String(), Incarnation: uint64(time.Now().UnixNano()),
		Zone: s.Zone, Door: listener.Addr().String(), Slots: s.Slots, State: "Ready",
	}, s.Token, s.Balancers)
	u.server = &http.Server{Handler: http.HandlerFunc(u.serveHTTP), ReadHeaderTimeout: time.Second}
	u.wg.Add(3)
	go u.readPackets()
	go func() {
		defer u.wg.Done()
		u.announcer.Run(ctx, s.AnnounceInterval)
	}()
	go func() {
		defer u.wg.Done()
		_ = u.server.Serve(listener)
	}()
	return u, nil
}

// Address returns the address that receives GUE packets.
func (u *Upstream) Address() netip.AddrPort { return u.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Settings returns the settings of the upstream.
func (u *Upstream) Settings() Settings { return u.settings }

// Drain announces the state Draining, so that balancers send no new flows or requests.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	return u.announcer.SetState(ctx, "Draining")
}

// Draining reports whether Drain has been called.
func (u *Upstream) Draining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// Kill stops the upstream without announcing it, like a crash.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.conn.Close()
	_ = u.server.Close()
	u.wg.Wait()
}

// Counts returns a copy of the current counts.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts
	c.Open = len(u.open)
	c.Runs = make(map[string]int, len(u.counts.Runs))
	for k, n := range u.counts.Runs {
		c.Runs[k] = n
	}
	return c
}

func (u *Upstream) readPackets() {
	defer u.wg.Done()
	b := make([]byte, readSize)
	for {
		n, err := u.conn.Read(b)
		if err != nil {
			return
		}
		packet, err := gue.Inner(b[:n])
		if err != nil {
			continue
		}
		if s, err := segment.Parse(packet); err == nil {
			u.receive(s)
		}
	}
}

func (u *Upstream) receive(s segment.Segment) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ownsAddress(s.Destination) {
		u.counts.Misdelivered++
		return
	}
	c := u.open[s.Source]
	switch {
	case s.SYN:
		u.accept(s, c)
	case c == nil && !s.RST:
		u.counts.Resets++
		u.reply(s, segment.Segment{Seq: s.Ack, RST: true})
	case s.FIN || s.RST:
		delete(u.open, s.Source)
	case len(s.Payload) > 0:
		u.receiveMessage(s, c)
	}
}

func (u *Upstream) ownsAddress(a netip.AddrPort) bool {
	for _, own := range u.settings.Addresses {
		if own == a {
			return true
		}
	}
	return false
}

func (u *Upstream) accept(s segment.Segment, c *connection) {
	if c == nil {
		c = &connection{seq: u.random.Uint32(), ack: s.Seq + 1}
		u.open[s.Source] = c
		u.counts.Accepted++
		u.counts.LastArrival = time.Now()
	}
	if c.ack == s.Seq+1 {
		u.reply(s, segment.Segment{Seq: c.seq, Ack: c.ack, SYN: true, ACK: true})
	}
}

// receiveMessage replies to a message in sequence, and resends the last reply to a retransmission.
func (u *Upstream) receiveMessage(s segment.Segment, c *connection) {
	switch s.Seq {
	case c.ack:
		c.ack += uint32(len(s.Payload))
		c.lastReply = caller.Reply(s.Payload)
	case c.ack - uint32(len(s.Payload)):
	default:
		return
	}
	u.reply(s, segment.Segment{Seq: s.Ack, Ack: c.ack, ACK: true, Payload: c.lastReply})
}

// reply sends a segment directly to the callers, bypassing the balancers.
func (u *Upstream) reply(to segment.Segment, s segment.Segment) {
	s.Source, s.Destination = to.Destination, to.Source
	if p, err := s.Packet(); err == nil {
		_, _ = u.conn.WriteToUDPAddrPort(p, u.settings.Callers)
	}
}
