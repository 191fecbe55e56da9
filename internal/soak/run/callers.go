package run

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retransmitInterval is how long a caller waits before it retransmits a packet.
	retransmitInterval = 200 * time.Millisecond
	// openTimeout and requestTimeout limit the retransmissions of one packet.
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 8 * time.Second
	// maxRequestPause is the longest pause between two requests of a flow.
	maxRequestPause = 150 * time.Millisecond
	// maxRequests limits the requests of one flow; every other flow is limited to
	// maxShortFlowRequests.
	maxRequests          = 60
	maxShortFlowRequests = 3
)

// caller opens flows one after another and sends requests on each.
type caller struct {
	run      *Run
	zone     string
	ip       netip.Addr
	conn     *net.UDPConn
	packets  chan received
	port     uint16
	requests int
	// upstream is the address of the upstream that accepted the latest flow.
	upstream netip.AddrPort
	// busy is held while a burst or a probe uses the caller: the last flow of a burst may outlast it.
	busy sync.Mutex
}

// received is a packet that a caller received, with its sender.
type received struct {
	Segment
	from netip.AddrPort
}

// listenAsCaller returns caller n of a kind, which receives packets.
func (r *Run) listenAsCaller(kind, n int) (*caller, error) {
	z := n % r.settings.Zones
	a := netip.MustParseAddr(ip(kind, z, n))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, FabricPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for caller: %w", err)
	}
	c := &caller{run: r, zone: r.zone(z), ip: a, conn: conn, packets: make(chan received, 64), port: 1024}
	r.closers = append(r.closers, func() { _ = conn.Close() })
	r.startGoroutine(c.receive)
	return c, nil
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.run.callersCPU.wait()
		p, _, err := c.run.settings.Platform.Decode(append([]byte(nil), buffer[:n]...), false)
		if err != nil {
			c.run.reportViolation(InvariantResponse, err.Error())
			continue
		}
		select {
		case c.packets <- received{Segment: p, from: from}:
		default:
		}
	}
}

// send sends a packet to the balancer that the fabric's hash selects for its flow.
func (c *caller) send(s Segment) {
	c.run.callersCPU.wait()
	ready := c.run.rotation(c.zone)
	if len(ready) == 0 {
		return
	}
	to := ready[flowHash(s.Caller, s.Address)%uint64(len(ready))]
	c.run.network.deliver(func() { _, _ = c.conn.WriteToUDPAddrPort(c.run.settings.Platform.Encode(s), to) })
}

// flowHash is the fabric's hash over both addresses of a flow.
func flowHash(caller, address netip.AddrPort) uint64 {
	return xxhash.Sum64String(caller.String() + address.String())
}

func (c *caller) openFlows() {
	for !c.run.hasEnded() {
		c.runFlow()
		time.Sleep(rand.N(maxRequestPause))
	}
}

// exchange sends a packet and retransmits it until the timeout. It returns the first packet of the
// flow that matches, or false if no such packet arrives.
func (c *caller) exchange(s Segment, timeout time.Duration, matches func(Segment) bool) (received, bool) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) && !c.run.hasEnded() {
		c.send(s)
		if s.Opening {
			s.Copy++
		}
		retransmit := time.After(retransmitInterval)
		for waiting := true; waiting; {
			select {
			case p := <-c.packets:
				if p.Address == s.Caller && matches(p.Segment) {
					return p, true
				}
			case <-retransmit:
				waiting = false
			}
		}
	}
	return received{}, false
}

// open opens a flow and returns the next segment that the caller sends on it. The result is false if
// the opening is rejected or not answered.
func (c *caller) open(address netip.AddrPort) (Segment, bool) {
	c.port++
	s := Segment{Open: true}
	s.Opening = true
	s.Caller, s.Address = netip.AddrPortFrom(c.ip, c.port), address
	s.Sequence = rand.Uint32()
	opened, ok := c.exchange(s, openTimeout, func(p Segment) bool { return p.Open || p.Reset })
	if !ok || opened.Reset {
		c.run.count(&c.run.unopened)
		return s, false
	}
	c.run.count(&c.run.opened)
	c.upstream = opened.from
	next := s
	next.Opening, next.Open, next.Acknowledge, next.Copy = false, false, true, 0
	next.Sequence, next.Acknowledged, next.Cookie = s.Sequence+1, opened.Sequence+1, opened.Cookie
	return next, true
}

func (c *caller) runFlow() {
	next, ok := c.open(c.run.nextRoute())
	if !ok {
		return
	}
	var incarnation uint64
	limit := maxRequests
	if c.port%2 == 0 {
		limit = 1 + rand.IntN(maxShortFlowRequests)
	}
	for n := 0; n < limit && !c.run.hasEnded(); n++ {
		response, ok := c.request(&next)
		if !ok {
			return
		}
		if incarnation == 0 {
			incarnation = response.Incarnation
		}
		if response.Incarnation != incarnation {
			c.run.reportViolation(InvariantFlow, fmt.Sprintf("flow of %x answered by %x", incarnation, response.Incarnation))
		}
		time.Sleep(rand.N(maxRequestPause))
	}
	next.Finish, next.Data = true, nil
	c.send(next)
}

// request sends one request on an open flow and checks its response.
func (c *caller) request(next *Segment) (responseBody, bool) {
	c.requests++
	next.Data = fmt.Appendf(nil, "%s/%d/%d", c.ip, c.port, c.requests)
	next.Length = len(next.Data)
	p, ok := c.exchange(*next, requestTimeout, func(p Segment) bool {
		return p.Reset || !p.Open && p.Acknowledged == next.Sequence+uint32(next.Length) && len(p.Data) > 0
	})
	if !ok {
		if !c.run.hasEnded() {
			c.run.count(&c.run.unanswered)
		}
		return responseBody{}, false
	}
	if p.Reset {
		c.run.checkReset(*next, c.upstream, p)
		return responseBody{}, false
	}
	var a responseBody
	if err := json.Unmarshal(p.Data, &a); err != nil || a.Request != string(next.Data) {
		c.run.reportViolation(InvariantResponse, fmt.Sprintf("%q got %q", next.Data, p.Data))
	}
	c.run.count(&c.run.answered)
	next.Sequence += uint32(next.Length)
	next.Acknowledged = p.Sequence + uint32(len(p.Data))
	next.Cookie = p.Cookie
	next.Data = nil
	if c.run.settings.SharedLoad {
		// Balancers count the slot of a request as occupied until its response is acknowledged.
		c.send(*next)
	}
	return a, true
}
