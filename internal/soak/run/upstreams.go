package run

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/upstream"
)

// drainGrace is how long new flows may still arrive after an acknowledged departure or evacuation.
// The bound is checked only if no fault was active meanwhile.
const drainGrace = 3 * time.Second

// responseBody is the payload of an upstream's response to a request that it executed.
type responseBody struct {
	Service     string
	Incarnation uint64
	Request     string
}

// simulatedUpstream is one upstream with its flows.
type simulatedUpstream struct {
	run  *Run
	self upstream.Upstream
	conn *net.UDPConn
	// probeListener completes the TCP handshakes of probes, as the kernel of a running VM does.
	probeListener net.Listener
	// cpu is the CPU of this upstream alone. Run.upstreamsCPU is shared by all upstreams.
	// Withholding either CPU stalls the upstream.
	cpu simulatedCPU
	mu  sync.Mutex
	// flows are the open flows by caller.
	flows map[netip.AddrPort]*upstreamFlow
	// slots holds an element for each request that is executed now.
	slots               chan struct{}
	drainAcknowledgedAt time.Time
	done                chan struct{}
}

// slotsPerUpstream is the number of requests that an upstream executes at the same time.
const slotsPerUpstream = 2

type upstreamFlow struct {
	nextSequence uint32
	response     Segment
	// executing is set until the response to the last request is known.
	executing bool
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
	u := &simulatedUpstream{run: r, conn: conn, probeListener: probeListener, flows: map[netip.AddrPort]*upstreamFlow{}, slots: make(chan struct{}, slotsPerUpstream), done: make(chan struct{})}
	born := uint64(time.Now().UnixMilli())
	u.self = upstream.Upstream{
		Identity: upstream.Identity{Service: service, Address: a, Incarnation: r.newIncarnation(born)},
		Zone:     zone, Slots: slotsPerUpstream, State: upstream.Ready, Born: born,
	}
	r.startGoroutine(u.serve)
	r.startGoroutine(u.announce)
	return u, nil
}

func (u *simulatedUpstream) stop() {
	close(u.done)
	_ = u.conn.Close()
	_ = u.probeListener.Close()
}

// wait blocks while the upstream is stalled.
func (u *simulatedUpstream) wait() {
	u.run.upstreamsCPU.wait()
	u.cpu.wait()
}

// announce sends an announcement every AnnounceInterval. The response may refer the upstream to an
// address for later announcements. Without such an address, or if the call to the address fails, the
// announcement goes to the voters in turn until a call succeeds.
func (u *simulatedUpstream) announce() {
	next := ""
	for n := 0; ; n++ {
		u.wait()
		u.mu.Lock()
		u.self.Sequence++
		announcement := u.self
		u.mu.Unlock()
		apis := []string{next}
		for try := range u.run.voterAPIs {
			apis = append(apis, u.run.voterAPIs[(n+try)%len(u.run.voterAPIs)])
		}
		for _, api := range lo.Compact(apis) {
			referred, err := u.run.settings.Platform.Announce(context.Background(), api, announcement)
			if err != nil {
				next = ""
				continue
			}
			next = cmp.Or(referred, next)
			u.mu.Lock()
			if announcement.State == upstream.Draining && u.drainAcknowledgedAt.IsZero() {
				u.drainAcknowledgedAt = time.Now()
			}
			u.mu.Unlock()
			break
		}
		select {
		case <-u.done:
			return
		case <-time.After(AnnounceInterval):
		}
	}
}

func (u *simulatedUpstream) drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.self.State = upstream.Draining
}

// withdraw makes the next announcements report the state Withdrawn. The upstream still serves its
// flows until stop is called.
func (u *simulatedUpstream) withdraw() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.self.State = upstream.Withdrawn
}

// restart drops all flows and sets a new start time for the same incarnation, as after a crash. It does
// nothing if the upstream is draining or withdrawn.
func (u *simulatedUpstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.self.State != upstream.Ready {
		return
	}
	clear(u.flows)
	u.self.Sequence = 0
	u.self.Born = uint64(max(time.Now().UnixMilli(), int64(u.self.Born)+1))
}

func (u *simulatedUpstream) serve() {
	buffer := make([]byte, 2048)
	for {
		n, err := u.conn.Read(buffer)
		if err != nil {
			return
		}
		u.wait()
		p, incarnation, err := u.run.settings.Platform.Decode(buffer[:n], true)
		if err != nil {
			u.run.reportViolation(InvariantResponse, err.Error())
			continue
		}
		if incarnation != u.self.Incarnation {
			continue
		}
		u.handle(p)
	}
}

func (u *simulatedUpstream) handle(p Segment) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.run.isPermitted(p.Address, u.self.Service) {
		u.run.reportViolation(InvariantService, fmt.Sprintf("%s reached %s", p.Address, u.self.Service))
		return
	}
	f := u.flows[p.Caller]
	if p.Opening {
		if !u.drainAcknowledgedAt.IsZero() && u.drainAcknowledgedAt.Add(drainGrace).Before(u.run.timeBoundsReference()) {
			u.run.reportViolation(InvariantDraining, fmt.Sprintf("%x left at %s", u.self.Incarnation, u.drainAcknowledgedAt))
		}
		u.run.checkEvacuated(u.self.Zone)
		if f == nil {
			f = &upstreamFlow{nextSequence: p.Sequence + 1}
			u.flows[p.Caller] = f
		}
		u.reply(p, Segment{Open: true, Acknowledge: true}, f.nextSequence)
		return
	}
	if f == nil {
		reset := Segment{}
		reset.Reset = true
		u.reply(p, reset, p.Sequence)
		return
	}
	if len(p.Data) == 0 {
		return
	}
	if p.Sequence == f.nextSequence {
		u.run.recordExecution(string(p.Data))
		f.nextSequence += uint32(len(p.Data))
		data, err := json.Marshal(responseBody{Service: u.self.Service, Incarnation: u.self.Incarnation, Request: string(p.Data)})
		if err != nil {
			u.run.reportViolation(InvariantResponse, err.Error())
			return
		}
		f.response = Segment{Acknowledge: true, Data: data}
		if u.run.settings.SharedLoad {
			f.executing = true
			u.run.startGoroutine(func() { u.execute(p, f) })
		}
	}
	if !f.executing {
		u.reply(p, f.response, f.nextSequence)
	}
}

// execute occupies a slot for workDuration and then sends the response. Requests wait for a slot.
func (u *simulatedUpstream) execute(p Segment, f *upstreamFlow) {
	u.slots <- struct{}{}
	time.Sleep(workDuration)
	<-u.slots
	u.wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	f.executing = false
	// A restart drops the flow and its requests.
	if u.flows[p.Caller] == f {
		u.reply(p, f.response, f.nextSequence)
	}
}

// reply sends a packet directly to the caller, bypassing the balancers. The packet has the cookie
// of the packet p to which it replies.
func (u *simulatedUpstream) reply(p, s Segment, acknowledged uint32) {
	s.Caller, s.Address = p.Address, p.Caller
	s.Cookie, s.Acknowledged, s.Sequence = p.Cookie, acknowledged, p.Acknowledged
	to := netip.AddrPortFrom(p.Caller.Addr(), FabricPort)
	// Send errors are ignored: the caller may have stopped.
	u.run.network.deliver(func() { _, _ = u.conn.WriteToUDPAddrPort(u.run.settings.Platform.Encode(s), to) })
}

// hasCookie reports whether flows that were opened since the last restart may have a cookie.
func (u *simulatedUpstream) hasCookie(cookie uint32) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	cookies := router.Cookies(u.self.Incarnation, u.self.Born)
	return slices.Contains(cookies[:], cookie)
}

// sharedCookieShare is the inverse share of upstreams that start with the cookie of another one.
const sharedCookieShare = 3

// newIncarnation returns a random incarnation. Some have the cookie of another upstream.
func (r *Run) newIncarnation(born uint64) uint64 {
	id := rand.Uint64() >> 24
	r.mu.Lock()
	upstreams := slices.Clone(r.upstreams)
	r.mu.Unlock()
	if len(upstreams) == 0 || rand.IntN(sharedCookieShare) != 0 {
		return id
	}
	// This code does not hold r.mu, as in checkReset.
	other := upstreams[rand.IntN(len(upstreams))]
	other.mu.Lock()
	defer other.mu.Unlock()
	// Cookie is linear in the lower half of the incarnation. The upper half distinguishes upstreams that start
	// in the same millisecond.
	high := rand.Uint64() &^ math.MaxUint32
	return high | uint64(router.Cookie(high|1, born)^1^router.Cookie(other.self.Incarnation, other.self.Born))
}
