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

// drainGrace is how long new flows may still arrive after an acknowledged departure or evacuation,
// provided that no fault was active meanwhile.
const drainGrace = 3 * time.Second

// answer is an upstream's response to a request that it executed.
type answer struct {
	Service     string
	Incarnation uint64
	Request     string
}

// simulatedUpstream is one upstream with its flows, which announces itself to the balancers.
type simulatedUpstream struct {
	run  *Run
	self upstream.Upstream
	conn *net.UDPConn
	// probeListener completes the TCP handshakes of probes, as the kernel of a running VM does.
	probeListener net.Listener
	// processor stalls this upstream alone; Run.upstreamsProcessor stalls all of them.
	processor processor
	mu        sync.Mutex
	// flows are the open flows by caller.
	flows               map[netip.AddrPort]*upstreamFlow
	drainAcknowledgedAt time.Time
	done                chan struct{}
}

type upstreamFlow struct {
	next     uint32
	response Segment
}

func (r *Run) startUpstream(address string, service, zone string) (*simulatedUpstream, error) {
	a := netip.MustParseAddrPort(address)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("listen for upstream: %w", err)
	}
	probeListener, err := net.Listen("tcp4", address)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("listen for probes of upstream: %w", err)
	}
	b := &simulatedUpstream{run: r, conn: conn, probeListener: probeListener, flows: map[netip.AddrPort]*upstreamFlow{}, done: make(chan struct{})}
	b.self = upstream.Upstream{
		Identity: upstream.Identity{Service: service, Address: a, Incarnation: rand.Uint64() >> 24},
		Zone:     zone, Slots: 2, State: upstream.Ready, Born: uint64(time.Now().UnixMilli()),
	}
	r.goRun(b.serve)
	r.goRun(b.announce)
	return b, nil
}

func (b *simulatedUpstream) stop() {
	close(b.done)
	_ = b.conn.Close()
	_ = b.probeListener.Close()
}

// wait blocks while the upstream is stalled.
func (b *simulatedUpstream) wait() {
	b.run.upstreamsProcessor.wait()
	b.processor.wait()
}

// announce sends announcements at AnnounceInterval to the address it was last referred to, or else to
// any voter.
func (b *simulatedUpstream) announce() {
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
			referred, err := b.run.settings.Platform.Announce(context.Background(), api, u)
			if err != nil {
				next = ""
				continue
			}
			next = cmp.Or(referred, next)
			b.mu.Lock()
			if u.State == upstream.Draining && b.drainAcknowledgedAt.IsZero() {
				b.drainAcknowledgedAt = time.Now()
			}
			b.mu.Unlock()
			break
		}
		select {
		case <-b.done:
			return
		case <-time.After(AnnounceInterval):
		}
	}
}

func (b *simulatedUpstream) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.State = upstream.Draining
}

// withdraw announces the upstream as withdrawn; it still serves its flows until stop.
func (b *simulatedUpstream) withdraw() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.State = upstream.Withdrawn
}

// restart drops all flows and sets a new start time for the same incarnation, as after a crash. It does
// nothing if the upstream is draining or withdrawn.
func (b *simulatedUpstream) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.self.State != upstream.Ready {
		return
	}
	clear(b.flows)
	b.self.Sequence = 0
	b.self.Born = uint64(max(time.Now().UnixMilli(), int64(b.self.Born)+1))
}

func (b *simulatedUpstream) serve() {
	buffer := make([]byte, 2048)
	for {
		n, err := b.conn.Read(buffer)
		if err != nil {
			return
		}
		b.wait()
		p, incarnation, err := b.run.settings.Platform.Decode(buffer[:n], true)
		if err != nil {
			b.run.violated(InvariantResponse, err.Error())
			continue
		}
		if incarnation != b.self.Incarnation {
			continue
		}
		b.handle(p)
	}
}

func (b *simulatedUpstream) handle(p Segment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.run.allowed(p.Address, b.self.Service) {
		b.run.violated(InvariantService, fmt.Sprintf("packet for %s reached service %s", p.Address, b.self.Service))
		return
	}
	f := b.flows[p.Caller]
	if p.Opening {
		if !b.drainAcknowledgedAt.IsZero() && b.drainAcknowledgedAt.Add(drainGrace).Before(b.run.timeBoundsReference()) {
			b.run.violated(InvariantDraining, fmt.Sprintf("new flow at upstream %x, departure acknowledged at %s", b.self.Incarnation, b.drainAcknowledgedAt))
		}
		b.run.checkEvacuated(b.self.Zone)
		if f == nil {
			f = &upstreamFlow{next: p.Sequence + 1}
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
		b.run.recordExecution(string(p.Data))
		f.next += uint32(len(p.Data))
		data, err := json.Marshal(answer{Service: b.self.Service, Incarnation: b.self.Incarnation, Request: string(p.Data)})
		if err != nil {
			b.run.violated(InvariantResponse, err.Error())
			return
		}
		f.response = Segment{Acknowledge: true, Data: data}
	}
	b.reply(p, f.response, f.next)
}

// reply sends a packet directly to the caller, bypassing the balancers, with the cookie of the
// packet it replies to.
func (b *simulatedUpstream) reply(p, s Segment, acknowledged uint32) {
	s.Caller, s.Address = p.Address, p.Caller
	s.Cookie, s.Acknowledged, s.Sequence = p.Cookie, acknowledged, p.Acknowledged
	to := netip.AddrPortFrom(p.Caller.Addr(), FabricPort)
	// Send errors are ignored: the caller may have stopped.
	b.run.network.deliver(func() { _, _ = b.conn.WriteToUDPAddrPort(b.run.settings.Platform.Encode(s), to) })
}

// cookie returns the cookie of flows that were opened since the last restart.
func (b *simulatedUpstream) cookie() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return router.Cookie(b.self.Incarnation, b.self.Born)
}
