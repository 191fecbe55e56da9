//go:build review

package harness

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// BeatInterval is the interval of a target's heartbeats.
const BeatInterval = 1200 * time.Millisecond

// Opening is the first packet of a flow that a target took.
type Opening struct {
	At   time.Time
	Flow netip.AddrPort
	Cold bool
}

// Event is what happened to a flow at a target.
type Event struct {
	At   time.Time
	Flow netip.AddrPort
	// Opened is set if the target got the end of the handshake, otherwise it sent a reset.
	Opened bool
}

// flow is what a target holds of a flow: whether it is open, and the next bytes to send and to take.
type flow struct {
	open       bool
	send, take uint32
}

// Target is a stand-in for one target: it takes flows, answers one request on each, and sends
// heartbeats to the core machines.
type Target struct {
	ID            uint64
	Zone, Service string
	site          *Site
	address       string
	packets       *net.UDPConn
	health        *http.Server
	control       []*Machine
	work          time.Duration
	slots         chan struct{}
	stop          context.CancelFunc
	mu            sync.Mutex
	born          int64
	sequence      int
	coldUntil     time.Time
	draining      bool
	flows         map[netip.AddrPort]*flow
	openings      []Opening
	events        []Event
	acknowledged  time.Time
}

// NewTarget starts a target at a loopback address that is cold for a while.
func (s *Site) NewTarget(id uint64, host int, zone, service string, control []*Machine, work, cold time.Duration) (*Target, error) {
	return s.NewTargetBorn(id, time.Now().UnixMilli(), host, zone, service, control, work, cold)
}

// NewTargetBorn is NewTarget with the time of the start that the target tells.
func (s *Site) NewTargetBorn(id uint64, born int64, host int, zone, service string, control []*Machine, work, cold time.Duration) (*Target, error) {
	t := &Target{
		ID: id, Zone: zone, Service: service, site: s, address: s.Address(host) + ":8080", control: control, work: work,
		slots: make(chan struct{}, 2), born: born, coldUntil: time.Now().Add(cold), flows: map[netip.AddrPort]*flow{},
	}
	var err error
	if t.packets, err = listenUDP(t.address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return nil, err
	}
	t.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = t.health.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	go t.read()
	go t.beat(ctx)
	return t, nil
}

// End ends the target without a word.
func (t *Target) End() {
	t.stop()
	_ = t.packets.Close()
	_ = t.health.Close()
}

// Cool makes the target cold from now on, for a while.
func (t *Target) Cool(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(d)
}

// Openings returns what the target took so far.
func (t *Target) Openings() []Opening {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Opening(nil), t.openings...)
}

// Acknowledged reports whether a heartbeat was acknowledged.
func (t *Target) Acknowledged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.acknowledged.IsZero()
}

// beat sends heartbeats: after a call without an acknowledgement, the next machine is called.
func (t *Target) beat(ctx context.Context) {
	example, err := os.ReadFile(filepath.Join("review", "platform", "beat.json"))
	if err != nil {
		return
	}
	next := int(t.ID)
	for ctx.Err() == nil {
		for range len(t.control) {
			t.mu.Lock()
			t.sequence++
			state := "ready"
			if t.draining {
				state = "draining"
			}
			body := strings.NewReplacer(
				"$SERVICE", t.Service, "$ADDRESS", t.address, "$ZONE", t.Zone, "$STATE", state, "$COLD", fmt.Sprint(max(time.Until(t.coldUntil).Milliseconds(), 0)),
				"$SEQUENCE", fmt.Sprint(t.sequence), "$BORN", fmt.Sprint(t.born),
			).Replace(strings.TrimSpace(string(example)))
			t.mu.Unlock()
			status, _ := t.site.Call(t.control[next%len(t.control)], "announce", map[string]string{"ID": fmt.Sprintf("i-%x", t.ID)}, []byte(body))
			if status == http.StatusOK {
				t.mu.Lock()
				t.acknowledged = time.Now()
				t.mu.Unlock()
				break
			}
			next++
		}
		select {
		case <-ctx.Done():
		case <-time.After(BeatInterval):
		}
	}
}

func (t *Target) read() {
	b := make([]byte, 2048)
	for {
		n, err := t.packets.Read(b)
		if err != nil {
			return
		}
		if n < idSize || binary.BigEndian.Uint64(b) != t.ID {
			continue
		}
		if p, ok := Decode(append([]byte(nil), b[idSize:n]...)); ok {
			t.take(p)
		}
	}
}

// answer sends a packet straight to the client.
func (t *Target) answer(p Packet, flags byte, sequence, ack uint32, data []byte) {
	a := Packet{From: p.To, To: p.From, Flags: flags, Echo: p.Echo, Sequence: sequence, Ack: ack, Data: data}
	to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.From.Addr(), 8172))
	_, _ = t.packets.WriteToUDP(a.Encode(), to)
}

// first returns the target's first sequence number of a flow.
func (t *Target) first(from netip.AddrPort) uint32 { return uint32(from.Port())*7 + uint32(t.ID) }

// take handles one packet.
func (t *Target) take(p Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[p.From]
	if p.Flags&FlagOpen != 0 {
		if f == nil {
			f = &flow{send: t.first(p.From) + 1, take: p.Sequence + 1}
			t.flows[p.From] = f
			t.openings = append(t.openings, Opening{At: time.Now(), Flow: p.From, Cold: time.Now().Before(t.coldUntil)})
		}
		t.answer(p, FlagOpen|FlagAcknowledge, f.send-1, f.take, nil)
		return
	}
	if p.Flags&FlagReset != 0 {
		delete(t.flows, p.From)
		return
	}
	if f == nil || !f.open && p.Ack != f.send {
		t.events = append(t.events, Event{At: time.Now(), Flow: p.From})
		t.answer(p, FlagReset, p.Ack, 0, nil)
		return
	}
	if !f.open {
		f.open = true
		t.events = append(t.events, Event{At: time.Now(), Flow: p.From, Opened: true})
	}
	switch {
	case p.Flags&FlagFinish != 0:
		delete(t.flows, p.From)
		t.answer(p, FlagFinish|FlagAcknowledge, f.send, p.Sequence+1, nil)
	case len(p.Data) > 0 && p.Sequence == f.take:
		f.take += uint32(len(p.Data))
		go t.serve(p, f)
	}
}

// Events returns what happened to the flows so far.
func (t *Target) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Event(nil), t.events...)
}

// answerSize is the number of bytes of an answer.
const answerSize = 600

// serve runs a request in a slot and answers it.
func (t *Target) serve(p Packet, f *flow) {
	t.slots <- struct{}{}
	time.Sleep(t.work)
	<-t.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer(p, FlagAcknowledge, f.send, f.take, make([]byte, answerSize))
	f.send += answerSize
}
