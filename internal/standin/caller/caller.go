package caller

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"wasabideal/internal/standin/fabric"
	"wasabideal/internal/standin/segment"
)

const (
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = time.Second
	// timerInterval is the interval of checks for flows that are due to send.
	timerInterval  = 20 * time.Millisecond
	maxMessageSize = 512
	readSize       = 4096
)

// Reply returns the reply of an upstream to a message: the inverted bytes, so that a caller detects
// a packet that another process echoes.
func Reply(message []byte) []byte {
	out := make([]byte, len(message))
	for i, b := range message {
		out[i] = ^b
	}
	return out
}

type state int

const (
	connecting state = iota
	awaitingReply
	idle
	broken
	closed
)

// flow is one TCP connection with at most one unacknowledged message, and with random pauses
// between its messages.
type flow struct {
	source, service       netip.AddrPort
	state                 state
	seq, ack              uint32
	message               []byte
	messageCount          uint64
	firstSentAt, nextSend time.Time
	retransmitTimeout     time.Duration
	meanPause             time.Duration
	reason                string
}

// Counts holds the results of all flows.
type Counts struct {
	// WrongBytes counts replies that differ from the expected reply.
	Flows, Established, BrokenFlows, Messages, WrongBytes int
	// Reasons counts broken flows by reason.
	Reasons map[string]int
	// MaxLatency is the longest time from a message to its reply.
	MaxLatency time.Duration
}

// Caller keeps many flows open on one socket, to which upstreams reply directly.
type Caller struct {
	mu        sync.Mutex
	fabric    *fabric.Fabric
	conn      *net.UDPConn
	flows     map[netip.AddrPort]*flow
	order     []*flow
	random    *rand.Rand
	timeout   time.Duration
	counts    Counts
	latencies []time.Duration
	wg        sync.WaitGroup
	done      chan struct{}
}

// New returns a caller that counts a flow as broken if a message gets no reply within timeout.
func New(f *fabric.Fabric, seed uint64, timeout time.Duration) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("open caller socket: %w", err)
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &Caller{
		fabric: f, conn: conn, flows: map[netip.AddrPort]*flow{}, timeout: timeout,
		random: rand.New(rand.NewPCG(seed, 2)), done: make(chan struct{}),
		counts: Counts{Reasons: map[string]int{}},
	}
	c.wg.Add(2)
	go c.read()
	go c.runTimers()
	return c, nil
}

// Address returns the address for replies from upstreams.
func (c *Caller) Address() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket without ending the flows: no FIN or RST is sent.
func (c *Caller) Close() {
	close(c.done)
	_ = c.conn.Close()
	c.wg.Wait()
}

// Open starts a flow to a service, with the given mean pause between a reply and the next message.
func (c *Caller) Open(service netip.AddrPort, meanPause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.order)
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(20000+n%40000))
	now := time.Now()
	f := &flow{source: source, service: service, seq: c.random.Uint32(), meanPause: meanPause, firstSentAt: now, retransmitTimeout: initialRetransmitTimeout}
	c.flows[source] = f
	c.order = append(c.order, f)
	c.counts.Flows++
	c.sendSYN(f, now)
}

// Counts returns the results so far.
func (c *Caller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// TakeLatencies returns and clears the reply latencies recorded since the last call.
func (c *Caller) TakeLatencies() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.latencies
	c.latencies = nil
	return taken
}

func (c *Caller) send(s segment.Segment) {
	if p, err := s.Packet(); err == nil {
		c.fabric.Send(p)
	}
}

func (c *Caller) sendSYN(f *flow, now time.Time) {
	c.send(segment.Segment{Source: f.source, Destination: f.service, Seq: f.seq, SYN: true})
	f.backOff(now)
}

func (f *flow) backOff(now time.Time) {
	f.nextSend = now.Add(f.retransmitTimeout)
	f.retransmitTimeout = min(2*f.retransmitTimeout, maxRetransmitTimeout)
}

func (c *Caller) runTimers() {
	defer c.wg.Done()
	t := time.NewTicker(timerInterval)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-t.C:
			c.handleTimers(now)
		}
	}
}

func (c *Caller) handleTimers(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.order {
		if now.Before(f.nextSend) {
			continue
		}
		switch f.state {
		case connecting:
			c.sendSYN(f, now)
		case idle:
			c.startMessage(f, now)
		case awaitingReply:
			if now.Sub(f.firstSentAt) > c.timeout {
				c.markBroken(f, "timeout")
				continue
			}
			c.sendMessage(f, now)
		case broken, closed:
		}
	}
}

// startMessage sends a new message of random length and content.
func (c *Caller) startMessage(f *flow, now time.Time) {
	f.message = make([]byte, 16+c.random.IntN(maxMessageSize-16))
	for i := 0; i+8 <= len(f.message); i += 8 {
		binary.BigEndian.PutUint64(f.message[i:], c.random.Uint64())
	}
	f.messageCount++
	f.state, f.firstSentAt, f.retransmitTimeout = awaitingReply, now, initialRetransmitTimeout
	c.sendMessage(f, now)
}

func (c *Caller) sendMessage(f *flow, now time.Time) {
	c.send(segment.Segment{Source: f.source, Destination: f.service, Seq: f.seq, Ack: f.ack, ACK: true, Payload: f.message})
	f.backOff(now)
}

func (c *Caller) markBroken(f *flow, reason string) {
	f.state, f.reason = broken, reason
	c.counts.BrokenFlows++
	c.counts.Reasons[reason]++
}

func (c *Caller) read() {
	defer c.wg.Done()
	b := make([]byte, readSize)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		if s, err := segment.Parse(b[:n]); err == nil {
			c.receive(s, time.Now())
		}
	}
}

func (c *Caller) receive(s segment.Segment, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[s.Destination]
	if f == nil || f.service != s.Source || f.state == broken {
		return
	}
	switch {
	case s.RST:
		c.receiveRST(f, s)
	case s.SYN && s.ACK && f.state == connecting && s.Ack == f.seq+1:
		f.seq++
		f.ack = s.Seq + 1
		c.counts.Established++
		c.startMessage(f, now)
	case f.state == awaitingReply && s.Ack == f.seq+uint32(len(f.message)) && s.Seq == f.ack && len(s.Payload) > 0:
		c.receiveReply(f, s, now)
	}
}

// receiveRST accepts a reset in sequence, as a TCP stack does, and a reset with sequence number 0,
// as in the response to a segment without ACK. While connecting, receiveRST ignores resets: the SYN
// is retransmitted.
func (c *Caller) receiveRST(f *flow, s segment.Segment) {
	if f.state == connecting {
		return
	}
	if s.Seq == f.ack || s.Seq == 0 {
		c.markBroken(f, "reset")
	}
}

func (c *Caller) receiveReply(f *flow, s segment.Segment, now time.Time) {
	if !bytes.Equal(s.Payload, Reply(f.message)) {
		c.counts.WrongBytes++
		c.markBroken(f, "wrong bytes")
		return
	}
	latency := now.Sub(f.firstSentAt)
	c.counts.MaxLatency = max(c.counts.MaxLatency, latency)
	c.latencies = append(c.latencies, latency)
	c.counts.Messages++
	f.seq += uint32(len(f.message))
	f.ack += uint32(len(s.Payload))
	f.state = idle
	f.nextSend = now.Add(f.meanPause/2 + time.Duration(c.random.Int64N(int64(f.meanPause))))
}
