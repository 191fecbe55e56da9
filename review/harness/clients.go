//go:build review

package harness

import (
	"context"
	"hash/fnv"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Clients is a stand-in for the clients and the routers of one zone: it opens a flow for each
// request, and its routers select the machine by a hash of the four addresses and ports.
type Clients struct {
	site    *Site
	fronts  []*Machine
	route   netip.AddrPort
	socket  *net.UDPConn
	ip      netip.Addr
	port    uint32
	mu      sync.Mutex
	waiting map[uint16]chan Packet
	sent    map[netip.AddrPort]time.Time
	// rotation are the machines that the routers use.
	rotation []*Machine
	resets   []Reset
	// via are the machines that took packets of each flow since its handshake.
	via map[netip.AddrPort][]*Machine
	// Asked, Answered and Failed count the requests.
	Asked, Answered, Failed atomic.Int64
}

// Reset is a reset that a client got on a flow, and what the flow was to the client.
type Reset struct {
	At   time.Time
	Flow netip.AddrPort
	// Open is set if the client had completed the handshake.
	Open bool
	// Via are the machines that took the flow's packets since the handshake.
	Via []*Machine
}

// NewClients creates the clients of a zone at one loopback address.
func (s *Site) NewClients(host int, fronts []*Machine, route string) (*Clients, error) {
	c := &Clients{
		site: s, fronts: fronts, route: netip.MustParseAddrPort(route), ip: netip.MustParseAddr(s.Address(host)),
		port: 20000, waiting: map[uint16]chan Packet{}, sent: map[netip.AddrPort]time.Time{}, rotation: fronts, via: map[netip.AddrPort][]*Machine{},
	}
	var err error
	if c.socket, err = listenUDP(s.Address(host) + ":8172"); err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *Clients) read() {
	b := make([]byte, 2048)
	for {
		n, err := c.socket.Read(b)
		if err != nil {
			return
		}
		p, ok := Decode(append([]byte(nil), b[:n]...))
		if !ok {
			continue
		}
		c.mu.Lock()
		if w := c.waiting[p.To.Port()]; w != nil {
			select {
			case w <- p:
			default:
			}
		}
		c.mu.Unlock()
	}
}

// send passes a packet to the machine that the router selects.
func (c *Clients) send(p Packet) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.From.String() + p.To.String()))
	c.mu.Lock()
	to := c.rotation[int(h.Sum32())%len(c.rotation)]
	if p.Flags&FlagOpen == 0 && !slices.Contains(c.via[p.From], to) {
		c.via[p.From] = append(c.via[p.From], to)
	}
	c.mu.Unlock()
	_, _ = c.socket.WriteToUDPAddrPort(p.Encode(), netip.MustParseAddrPort(to.IP+":8172"))
}

// CheckReady sends the routers' checks twice per second: after two misses a machine is out of
// rotation until it answers with 200 again. If fewer than half of the zone's machines are in
// rotation, all are used.
func (c *Clients) CheckReady(ctx context.Context) {
	misses := make([]int, len(c.fronts))
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var in []*Machine
		names := ""
		for i, m := range c.fronts {
			if misses[i]++; c.site.Ready(m) {
				misses[i] = 0
			}
			if misses[i] < 2 {
				in = append(in, m)
				names += " " + m.Name
			}
		}
		if 2*len(in) < len(c.fronts) {
			in = c.fronts
		}
		c.mu.Lock()
		if len(in) != len(c.rotation) {
			c.site.Record.Write("in rotation:%s", names)
		}
		c.rotation = in
		c.mu.Unlock()
	}
}

// Resets returns the resets that the clients got.
func (c *Clients) Resets() []Reset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Reset(nil), c.resets...)
}

func (c *Clients) recordReset(flow netip.AddrPort, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = append(c.resets, Reset{At: time.Now(), Flow: flow, Open: open, Via: c.via[flow]})
}

// Sent returns when the client sent the first opening of a flow.
func (c *Clients) Sent(flow netip.AddrPort) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[flow]
}

// Run opens flows at a rate until the context ends.
func (c *Clients) Run(ctx context.Context, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	var running sync.WaitGroup
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
			running.Add(1)
			go func() {
				defer running.Done()
				c.request()
			}()
		}
	}
	running.Wait()
}

// Hold opens a flow and sends a request on it after each pause, until the context ends or the flow
// is lost.
func (c *Clients) Hold(ctx context.Context, pause time.Duration) {
	from, in, end := c.begin()
	defer end()
	f, ok := c.open(from, in)
	for ok && ctx.Err() == nil {
		c.Asked.Add(1)
		if ok = c.exchange(f, in, 5*time.Second); !ok {
			c.Failed.Add(1)
			return
		}
		c.Answered.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case p := <-in:
			f.echo = p.Echo
			if p.Flags&FlagReset != 0 {
				c.recordReset(from, true)
				return
			}
		}
	}
}

// request makes one attempt: a flow with one request on it.
func (c *Clients) request() {
	from, in, end := c.begin()
	defer end()
	c.Asked.Add(1)
	if f, ok := c.open(from, in); ok && c.exchange(f, in, 1500*time.Millisecond) {
		c.send(Packet{From: from, To: c.route, Flags: FlagFinish | FlagAcknowledge, Echo: f.echo, Sequence: f.send, Ack: f.take})
		c.Answered.Add(1)
		return
	}
	c.Failed.Add(1)
}

// begin returns a new endpoint and its packets, and a function that ends it.
func (c *Clients) begin() (netip.AddrPort, chan Packet, func()) {
	port := uint16(atomic.AddUint32(&c.port, 1))
	from := netip.AddrPortFrom(c.ip, port)
	in := make(chan Packet, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[port] = in
	c.sent[from] = time.Now()
	return from, in, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiting, port)
	}
}

// clientFlow is a client's end of an open flow.
type clientFlow struct {
	from             netip.AddrPort
	echo, send, take uint32
}

// open sends the first packet and its copies, with the waits of the pages.
func (c *Clients) open(from netip.AddrPort, in chan Packet) (*clientFlow, bool) {
	first := Packet{From: from, To: c.route, Flags: FlagOpen, Sequence: 1000}
	begun := time.Now()
	for n, wait := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		first.Ack = uint32(n)
		c.send(first)
		until := time.After(time.Until(begun.Add(wait)))
		for waiting := true; waiting; {
			select {
			case p := <-in:
				if p.Flags&FlagReset != 0 {
					c.recordReset(from, false)
					return nil, false
				}
				if p.Flags&FlagOpen != 0 {
					return &clientFlow{from: from, echo: p.Echo, send: 1001, take: p.Sequence + 1}, true
				}
			case <-until:
				waiting = false
			}
		}
	}
	return nil, false
}

// requestSize is the number of bytes of a request.
const requestSize = 900

// exchange sends a request and takes the answer. Each packet carries the echo that the client
// received last.
func (c *Clients) exchange(f *clientFlow, in chan Packet, within time.Duration) bool {
	send := func() {
		c.send(Packet{From: f.from, To: c.route, Flags: FlagAcknowledge, Echo: f.echo, Sequence: f.send, Ack: f.take, Data: make([]byte, requestSize)})
	}
	send()
	pause := 200 * time.Millisecond
	retry := time.NewTimer(pause)
	defer retry.Stop()
	deadline := time.After(within)
	for {
		select {
		case p := <-in:
			f.echo = p.Echo
			switch {
			case p.Flags&FlagReset != 0:
				c.recordReset(f.from, true)
				return false
			case len(p.Data) > 0 && p.Sequence == f.take:
				f.take += uint32(len(p.Data))
				f.send += requestSize
				c.send(Packet{From: f.from, To: c.route, Flags: FlagAcknowledge, Echo: f.echo, Sequence: f.send, Ack: f.take})
				return true
			}
		case <-retry.C:
			send()
			pause = min(2*pause, 1600*time.Millisecond)
			retry.Reset(pause)
		case <-deadline:
			return false
		}
	}
}
