package run

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/upstream"
)

// leavingFor is how long after an acknowledged departure new flows may arrive,
// where no process was disturbed meanwhile.
const leavingFor = 3 * time.Second

// answer is what an upstream tells a caller of the request that it ran.
type answer struct {
	Service     string
	Incarnation uint64
	Request     string
}

// backend is one upstream: its flows, and the announcements that it makes.
type backend struct {
	run  *Run
	self upstream.Upstream
	conn *net.UDPConn
	// door completes handshakes as long as the upstream runs, as its kernel does.
	door net.Listener
	// processor is the upstream's own; all of them share the run's.
	processor processor
	mu        sync.Mutex
	// flows are the sequences that callers have sent in full, by caller.
	flows map[netip.AddrPort]*backendFlow
	left  time.Time
	done  chan struct{}
}

type backendFlow struct {
	next     uint32
	response Segment
}

func (r *Run) startBackend(address string, service, zone string) (*backend, error) {
	a := netip.MustParseAddrPort(address)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("listen for upstream: %w", err)
	}
	door, err := net.Listen("tcp4", address)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("listen for probes of upstream: %w", err)
	}
	b := &backend{run: r, conn: conn, door: door, flows: map[netip.AddrPort]*backendFlow{}, done: make(chan struct{})}
	b.self = upstream.Upstream{
		Identity: upstream.Identity{Service: service, Address: a, Incarnation: rand.Uint64() >> 24},
		Zone:     zone, Slots: 2, State: upstream.Ready, Born: uint64(time.Now().UnixMilli()),
	}
	r.goRun(b.serve)
	r.goRun(b.announce)
	return b, nil
}

func (b *backend) stop() {
	close(b.done)
	_ = b.conn.Close()
	_ = b.door.Close()
}

// wait returns once the upstream has a processor.
func (b *backend) wait() {
	b.run.upstreams.wait()
	b.processor.wait()
}

// announce tells whom it was referred to, or any voter, of the upstream, again and again.
func (b *backend) announce() {
	next := ""
	for n := 0; ; n++ {
		b.wait()
		b.mu.Lock()
		b.self.Sequence++
		u := b.self
		b.mu.Unlock()
		apis := []string{next}
		for try := range b.run.apis {
			apis = append(apis, b.run.apis[(n+try)%len(b.run.apis)])
		}
		for _, api := range lo.Compact(apis) {
			referred, err := b.run.settings.World.Announce(context.Background(), api, u)
			if err != nil {
				next = ""
				continue
			}
			next = cmp.Or(referred, next)
			b.mu.Lock()
			if u.State == upstream.Draining && b.left.IsZero() {
				b.left = time.Now()
			}
			b.mu.Unlock()
			break
		}
		select {
		case <-b.done:
			return
		case <-time.After(AnnounceEvery):
		}
	}
}

func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.State = upstream.Draining
}

// withdraw tells that the upstream ends; it goes on serving its flows for a while.
func (b *backend) withdraw() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.State = upstream.Withdrawn
}

// restart forgets all flows and announcements, as a crash does. One that leaves goes on
// to leave.
func (b *backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.self.State != upstream.Ready {
		return
	}
	clear(b.flows)
	b.self.Sequence = 0
	b.self.Born = uint64(max(time.Now().UnixMilli(), int64(b.self.Born)+1))
}

func (b *backend) serve() {
	buffer := make([]byte, 2048)
	for {
		n, err := b.conn.Read(buffer)
		if err != nil {
			return
		}
		b.wait()
		p, meant, err := b.run.settings.World.Decode(buffer[:n], true)
		if err != nil {
			b.run.broken(PromiseOwn, err.Error())
			continue
		}
		if meant != b.self.Incarnation {
			continue
		}
		b.take(p)
	}
}

func (b *backend) take(p Segment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.run.allowed(p.Address, b.self.Service) {
		b.run.broken(PromiseService, fmt.Sprintf("%s reached %s", p.Address, b.self.Service))
		return
	}
	f := b.flows[p.Caller]
	if p.Opening {
		if !b.left.IsZero() && b.left.Add(leavingFor).Before(b.run.calmSince()) {
			b.run.broken(PromiseLeaving, fmt.Sprintf("%x left at %s", b.self.Incarnation, b.left))
		}
		b.run.checkEvacuated(b.self.Zone)
		if f == nil {
			f = &backendFlow{next: p.Sequence + 1}
			b.flows[p.Caller] = f
		}
		b.reply(p, Segment{Open: true, Acknowledge: true}, f.next)
		return
	}
	if f == nil {
		reset := Segment{}
		reset.Reset = true
		b.reply(p, reset, p.Sequence)
		return
	}
	if len(p.Data) == 0 {
		return
	}
	if p.Sequence == f.next {
		b.run.ran(string(p.Data))
		f.next += uint32(len(p.Data))
		data, err := json.Marshal(answer{Service: b.self.Service, Incarnation: b.self.Incarnation, Request: string(p.Data)})
		if err != nil {
			b.run.broken(PromiseOwn, err.Error())
			return
		}
		f.response = Segment{Acknowledge: true, Data: data}
	}
	b.reply(p, f.response, f.next)
}

// reply sends a packet straight to the caller, with the cookie that came last.
func (b *backend) reply(p, s Segment, acknowledged uint32) {
	s.Caller, s.Address = p.Address, p.Caller
	s.Cookie, s.Acknowledged, s.Sequence = p.Cookie, acknowledged, p.Acknowledged
	to := netip.AddrPortFrom(p.Caller.Addr(), FabricPort)
	// A caller that is gone does not matter here.
	b.run.network.carry(func() { _, _ = b.conn.WriteToUDPAddrPort(b.run.settings.World.Encode(s), to) })
}

// cookie is what the callers of the present life's flows return.
func (b *backend) cookie() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return router.Cookie(b.self.Incarnation, b.self.Born)
}
