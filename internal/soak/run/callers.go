package run

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// repeatAfter is how long a caller waits before it repeats a packet.
	repeatAfter = 200 * time.Millisecond
	// openingLimit and requestLimit are how long a caller tries.
	openingLimit = 1400 * time.Millisecond
	requestLimit = 8 * time.Second
	// pauseMost is the longest pause between two requests of a flow.
	pauseMost = 150 * time.Millisecond
	// requestsMost bounds the requests of one flow, shortMost those of every second flow.
	requestsMost = 60
	shortMost    = 3
)

// caller opens one flow after the other and sends requests on each.
type caller struct {
	run      *Run
	ip       netip.Addr
	conn     *net.UDPConn
	packets  chan received
	port     uint16
	requests int
}

// received is a packet that a caller got, with its sender.
type received struct {
	Segment
	from netip.AddrPort
}

func (r *Run) startCaller(ip string) error {
	a := netip.MustParseAddr(ip)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, FabricPort)))
	if err != nil {
		return fmt.Errorf("listen for caller: %w", err)
	}
	c := &caller{run: r, ip: a, conn: conn, packets: make(chan received, 64), port: 1024}
	r.closers = append(r.closers, func() { _ = conn.Close() })
	r.goRun(c.receive)
	r.goRun(c.call)
	return nil
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.run.callers.wait()
		p, _, err := c.run.settings.World.Decode(append([]byte(nil), buffer[:n]...), false)
		if err != nil {
			c.run.broken(PromiseOwn, err.Error())
			continue
		}
		select {
		case c.packets <- received{Segment: p, from: from}:
		default:
		}
	}
}

// send hands a packet to the balancer that the fabric's hash picks for it.
func (c *caller) send(s Segment) {
	c.run.callers.wait()
	ready := c.run.rotation()
	if len(ready) == 0 {
		return
	}
	to := ready[flowHash(s.Caller, s.Address)%uint64(len(ready))]
	c.run.network.carry(func() { _, _ = c.conn.WriteToUDPAddrPort(c.run.settings.World.Encode(s), to) })
}

// flowHash is the fabric's, over both ends of a flow.
func flowHash(caller, address netip.AddrPort) uint64 {
	return xxhash.Sum64String(caller.String() + address.String())
}

func (c *caller) call() {
	for !c.run.over() {
		c.flow()
		time.Sleep(rand.N(pauseMost))
	}
}

// exchange sends a packet, repeats it, and returns the first packet of the flow
// that satisfies the condition, or false.
func (c *caller) exchange(s Segment, limit time.Duration, wanted func(Segment) bool) (received, bool) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) && !c.run.over() {
		c.send(s)
		if s.Opening {
			s.Copy++
		}
		repeat := time.After(repeatAfter)
		for waiting := true; waiting; {
			select {
			case p := <-c.packets:
				if p.Address == s.Caller && wanted(p.Segment) {
					return p, true
				}
			case <-repeat:
				waiting = false
			}
		}
	}
	return received{}, false
}

func (c *caller) flow() {
	c.port++
	s := Segment{Open: true}
	s.Opening = true
	s.Caller, s.Address = netip.AddrPortFrom(c.ip, c.port), c.run.someRoute()
	s.Sequence = rand.Uint32()
	opened, ok := c.exchange(s, openingLimit, func(p Segment) bool { return p.Open || p.Reset })
	if !ok || opened.Reset {
		c.run.count(&c.run.unopened)
		return
	}
	c.run.count(&c.run.opened)
	at := s
	at.Opening, at.Open, at.Acknowledge, at.Copy = false, false, true, 0
	at.Sequence, at.Acknowledged, at.Cookie = s.Sequence+1, opened.Sequence+1, opened.Cookie
	var home uint64
	most := requestsMost
	if c.port%2 == 0 {
		most = 1 + rand.IntN(shortMost)
	}
	for n := 0; n < most && !c.run.over(); n++ {
		got, ok := c.request(&at)
		if !ok {
			return
		}
		if home == 0 {
			home = got.Incarnation
		}
		if got.Incarnation != home {
			c.run.broken(PromiseFlow, fmt.Sprintf("flow of %x answered by %x", home, got.Incarnation))
		}
		time.Sleep(rand.N(pauseMost))
	}
	at.Finish, at.Data = true, nil
	c.send(at)
}

// request sends one request on an open flow and checks its answer.
func (c *caller) request(at *Segment) (answer, bool) {
	c.requests++
	at.Data = fmt.Appendf(nil, "%s/%d/%d", c.ip, c.port, c.requests)
	at.Length = len(at.Data)
	p, ok := c.exchange(*at, requestLimit, func(p Segment) bool {
		return p.Reset || !p.Open && p.Acknowledged == at.Sequence+uint32(at.Length) && len(p.Data) > 0
	})
	if !ok {
		if !c.run.over() {
			c.run.count(&c.run.unanswered)
		}
		return answer{}, false
	}
	if p.Reset {
		c.run.flowReset(*at, p)
		return answer{}, false
	}
	var a answer
	if err := json.Unmarshal(p.Data, &a); err != nil || a.Request != string(at.Data) {
		c.run.broken(PromiseOwn, fmt.Sprintf("%q got %q", at.Data, p.Data))
	}
	c.run.count(&c.run.answered)
	at.Sequence += uint32(at.Length)
	at.Acknowledged = p.Sequence + uint32(len(p.Data))
	at.Cookie = p.Cookie
	at.Data = nil
	return a, true
}
