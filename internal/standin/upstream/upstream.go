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

// Settings of one stand-in.
type Settings struct {
	Name, Service, Zone, Token string
	// Addresses are the service's own; a packet for another is misdelivered.
	Addresses []netip.AddrPort
	Slots     uint16
	// Work is the mean time that a request takes.
	Work time.Duration
	// Callers is where answers to flows go.
	Callers       netip.AddrPort
	Balancers     func() []string
	AnnounceEvery time.Duration
	Seed          uint64
}

// Counts are what an upstream saw.
type Counts struct {
	Accepted, Open, Misdelivered, Resets int
	// LastNew is when the last new flow or request arrived.
	LastNew time.Time
	// Runs counts how often each request key was run.
	Runs map[string]int
}

type connection struct {
	seq, ack uint32
	last     []byte
}

// Upstream is a running stand-in.
type Upstream struct {
	settings  Settings
	mu        sync.Mutex
	conn      *net.UDPConn
	door      net.Listener
	server    *http.Server
	announcer *announcer.Announcer
	open      map[netip.AddrPort]*connection
	counts    Counts
	busy      int
	random    *rand.Rand
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	draining  bool
}

// Start opens the stand-in's sockets and announces it.
func Start(ctx context.Context, s Settings) (*Upstream, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open door: %w", err)
	}
	_ = conn.SetReadBuffer(1 << 20)
	ctx, cancel := context.WithCancel(ctx)
	u := &Upstream{
		settings: s, conn: conn, door: door, open: map[netip.AddrPort]*connection{}, cancel: cancel,
		random: rand.New(rand.NewPCG(s.Seed, 3)), counts: Counts{Runs: map[string]int{}},
	}
	u.announcer = announcer.New(announcer.Announcement{
		Service: s.Service, Address: u.Address().String(), Incarnation: uint64(time.Now().UnixNano()),
		Zone: s.Zone, Door: door.Addr().String(), Slots: s.Slots, State: "Ready",
	}, s.Token, s.Balancers)
	u.server = &http.Server{Handler: http.HandlerFunc(u.run), ReadHeaderTimeout: time.Second}
	u.wg.Add(3)
	go u.read()
	go func() {
		defer u.wg.Done()
		u.announcer.Run(ctx, s.AnnounceEvery)
	}()
	go func() {
		defer u.wg.Done()
		_ = u.server.Serve(door)
	}()
	return u, nil
}

// Address is the stand-in's tunnel.
func (u *Upstream) Address() netip.AddrPort { return u.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Settings returns what the stand-in was started with.
func (u *Upstream) Settings() Settings { return u.settings }

// Drain announces that no new work is wanted.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	return u.announcer.SetState(ctx, "Draining")
}

// Draining says whether Drain was called.
func (u *Upstream) Draining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// Kill ends the stand-in without a word.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.conn.Close()
	_ = u.server.Close()
	u.wg.Wait()
}

// Counts returns a copy of what was seen so far.
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

func (u *Upstream) read() {
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
	if !u.serves(s.Destination) {
		u.counts.Misdelivered++
		return
	}
	c := u.open[s.Source]
	switch {
	case s.SYN:
		u.accept(s, c)
	case c == nil && !s.RST:
		u.counts.Resets++
		u.answer(s, segment.Segment{Seq: s.Ack, RST: true})
	case s.FIN || s.RST:
		delete(u.open, s.Source)
	case len(s.Payload) > 0:
		u.echo(s, c)
	}
}

func (u *Upstream) serves(a netip.AddrPort) bool {
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
		u.counts.LastNew = time.Now()
	}
	if c.ack == s.Seq+1 {
		u.answer(s, segment.Segment{Seq: c.seq, Ack: c.ack, SYN: true, ACK: true})
	}
}

// echo answers a message in sequence, and repeats the last answer for a repeated one.
func (u *Upstream) echo(s segment.Segment, c *connection) {
	switch s.Seq {
	case c.ack:
		c.ack += uint32(len(s.Payload))
		c.last = caller.Reply(s.Payload)
	case c.ack - uint32(len(s.Payload)):
	default:
		return
	}
	u.answer(s, segment.Segment{Seq: s.Ack, Ack: c.ack, ACK: true, Payload: c.last})
}

// answer sends a segment straight to the callers, past the balancers.
func (u *Upstream) answer(to segment.Segment, s segment.Segment) {
	s.Source, s.Destination = to.Destination, to.Source
	if p, err := s.Packet(); err == nil {
		_, _ = u.conn.WriteToUDPAddrPort(p, u.settings.Callers)
	}
}
