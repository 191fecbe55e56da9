package cookie

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/pacing"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/overload/uplink"
	"wasabideal/internal/overload/waiting"
	"wasabideal/internal/silence/doubts"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/wire/datagram"
)

// Codec translates between datagrams of the network fabric and packets.
type Codec interface {
	// Decode reads a datagram, or fails where it is malformed.
	Decode(data []byte) (router.Packet, error)
	// Forward appends the datagram that carries a received one to an upstream.
	Forward(buffer, data []byte, v router.Verdict) []byte
	// Reset appends the datagram that resets a packet's flow, and returns where
	// it goes.
	Reset(buffer []byte, p router.Packet) (netip.AddrPort, []byte)
}

const (
	// inheritFor is three announcements' time, in which a voter that restarted
	// hears all upstreams that are alive.
	inheritFor = 4 * time.Second
	// forgetAfter is how long a silent upstream is remembered, for flows that
	// may still be open there.
	forgetAfter = 90 * time.Second
	// tick is the pace of the router's housekeeping.
	tick = 100 * time.Millisecond
	// quietStop is how long a balancer that stops waits without a packet, and
	// leaveFirst the least time it goes on: the fabric takes two failed checks,
	// half a second apart, to send its packets elsewhere.
	quietStop  = 600 * time.Millisecond
	leaveFirst = 1500 * time.Millisecond
	// doubtPause is the least time between two looks at what voters suspect: of hundreds of
	// upstreams that fall silent together many voters tell within some tenths of a second.
	doubtPause = 20 * time.Millisecond
	// doubtAgain is how often liveness reports on suspected upstreams are sent again while
	// voters suspect them: one that is lost would let an upstream count as unresponsive that
	// lives. A report and the answer to it take less on three levels.
	doubtAgain = 300 * time.Millisecond
	// readPause keeps a socket that fails again and again from filling the log.
	readPause = 100 * time.Millisecond
	// forwardHead is room for what a forwarded datagram carries beside the packet.
	forwardHead = 64
)

// Settings of the process.
type Settings struct {
	// Fabric is the address for datagrams.
	Fabric string
	// Sources are call addresses of some voters.
	Sources []string
	Zone    string
	Token   string
	// Rpc is the address for calls of other balancers, empty where none follows this one,
	// and Announcements the one at which upstreams are to announce themselves here.
	Rpc, Announcements string
	// AnnounceEvery is the time between two announcements of an upstream.
	AnnounceEvery time.Duration
	// Shape is that of the tree of the zone's balancers.
	Shape tree.Shape
	// StaleAfter is how old what another balancer passes on may become.
	StaleAfter time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	Codec       Codec
	// LinkBytesPerSecond is what the VM's link carries; 0 paces nothing.
	LinkBytesPerSecond float64
	// Off are the mechanisms that are switched off.
	Off mechanism.Off
	// Clock is where this edge reads the time.
	Clock func() time.Time
}

// Balancer is a running process.
type Balancer struct {
	settings Settings
	log      hclog.Logger
	socket   *datagram.Socket
	follower *follower.Follower
	fanout   *fanout
	mu       sync.Mutex
	router   *router.Router
	view     *view.View
	// doubts are what voters say of upstreams that leave packets unanswered.
	doubts *doubts.Doubts
	// doubted is when the router was last told of them, doubtsPacing when it is next.
	doubted      time.Time
	doubtsPacing pacing.Pacing
	// unresponsive are those that were logged as such.
	unresponsive map[word.Subject]bool
	// early are packets that could not be placed yet.
	early *waiting.Waiting[earlyKey, earlyPacket]
	// coldWaits says that some of them wait for an upstream to be warm.
	coldWaits bool
	// crowded are packets that could be, and wait for room at their upstream.
	crowded *waiting.Waiting[earlyKey, earlyPacket]
	// uploads is nil where nothing is paced.
	uploads *uploads
	held    configuration.Configuration
	// evacuations are the orders in force for availability zones.
	evacuations evacuation.Evacuations
	// outdated says that packets may be placed that could not be before.
	outdated   bool
	lastPacket time.Time
	buffers    [][]byte
	used       int
	leaving    atomic.Bool
	ready      atomic.Bool
	reports    reports
	counts     *counts
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// Listen opens the socket.
func Listen(s Settings, log hclog.Logger) (*Balancer, error) {
	socket, err := datagram.Listen(s.Fabric)
	if err != nil {
		return nil, fmt.Errorf("listen on Fabric: %w", err)
	}
	b := &Balancer{
		settings: s, log: log, socket: socket, counts: newCounts(),
		doubts: doubts.New(follower.ContactLease), unresponsive: map[word.Subject]bool{},
		early: waiting.New[earlyKey, earlyPacket](), crowded: waiting.New[earlyKey, earlyPacket](),
		view: view.New(view.Settings{ContactLease: follower.ContactLease, InheritFor: inheritFor, ForgetAfter: forgetAfter}),
	}
	if uplink.Narrow(s.LinkBytesPerSecond) && !s.Off.Has(mechanism.Pacing) {
		b.uploads = newUploads(s.LinkBytesPerSecond)
	}
	self, err := b.follow()
	b.router = router.New(router.Settings{
		Zone: s.Zone, Self: self, Started: s.Clock(), Seed: xxhash.Sum64String(s.Fabric), Off: s.Off, Suspected: b.suspected,
		ZoneRefused: b.zoneRefused, Reset: b.flowReset,
		Opened: b.counts.opened.Record, Answered: b.counts.answered.Record,
	})
	return b, err
}

// Address returns where the balancer takes datagrams.
func (b *Balancer) Address() netip.AddrPort { return b.socket.Address() }

// Start begins to serve and returns at once.
func (b *Balancer) Start(ctx context.Context) {
	b.ctx, b.cancel = context.WithCancel(ctx)
	b.follower.Start(b.ctx, b.settings.Sources)
	b.goRun(b.read)
	b.goRun(b.keepTime)
	if b.fanout != nil {
		b.goRun(b.serveFollowers)
	}
	if b.uploads != nil {
		b.goRun(b.pace)
	}
}

func (b *Balancer) goRun(f func()) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		f()
	}()
}

// Name tells of voters that the settings name now.
func (b *Balancer) Name(sources []string) { b.follower.Name(sources) }

// Ready says that the balancer can place flows and does not leave.
func (b *Balancer) Ready() bool { return b.ready.Load() && !b.leaving.Load() }

// Held returns the configuration in force.
func (b *Balancer) Held() configuration.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Informed says that upstreams are known already.
func (b *Balancer) Informed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Upstreams() > 0
}

// Offered puts a configuration in force if it is newer.
func (b *Balancer) Offered(address string, c configuration.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Revision <= b.held.Revision {
		return
	}
	if err := b.router.Configure(c); err != nil {
		b.log.Error("configuration refused", "Error", err)
		return
	}
	b.held = c
	b.published(c)
	b.log.Info("configuration in force", "Revision", c.Revision, "From", address, "Routes", len(c.Routes))
	b.outdated = true
	b.refresh(b.settings.Clock())
}

// Answered takes what a voter said.
func (b *Balancer) Answered(now time.Time, x origins.Origin) {
	b.mu.Lock()
	defer b.mu.Unlock()
	contact := now.Add(-x.Age)
	b.view.Hear(now, view.News{Voter: x.Voter, Life: x.Life, Version: x.Version, Contact: contact, Notices: x.Notices})
	b.refresh(now)
	switch {
	case !x.Doubted:
		b.doubts.Contact(contact, x.Voter)
	case b.doubts.Hear(now, contact, x.Voter, x.Subjects):
		b.doubtSoon(now)
	}
	b.passedOn(x)
}

// refresh gives the router the upstreams as the voters tell of them; the lock is held.
func (b *Balancer) refresh(now time.Time) {
	changes, changed := b.view.Changes(now)
	if !changed && !b.outdated {
		return
	}
	b.outdated = false
	b.router.Update(now, changes)
	ready := b.held.Revision > 0 && b.router.Upstreams() > 0
	if ready != b.ready.Swap(ready) {
		b.log.Info("readiness", "Ready", ready, "Revision", b.held.Revision, "Upstreams", b.router.Upstreams())
	}
	// After readiness, so that whoever sees a placed packet sees that, too.
	b.placeKept(now, b.early)
}

func (b *Balancer) suspected(t view.Target) {
	b.counts.suspicions.Inc(1)
	b.log.Info("upstream suspected", "Incarnation", fmt.Sprintf("%x", t.Incarnation), "Service", t.Service,
		"Address", t.Address.String(), "Live", t.Live)
}

func (b *Balancer) zoneRefused(zone string) {
	b.counts.zonesRefused.Inc(1)
	b.log.Warn("all upstreams of a zone refuse new flows; placing them in other zones", "Zone", zone)
}

func (b *Balancer) keepTime() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			b.mu.Lock()
			now := b.settings.Clock()
			b.router.SetBalancers(b.follower.Balancers())
			b.router.SetPeers(now, b.follower.Peers())
			b.router.Tick(now)
			b.refresh(now)
			b.placeKept(now, b.crowded)
			if b.coldWaits {
				b.coldWaits = false
				b.placeKept(now, b.early)
			}
			if b.doubts.Expired(now) || b.doubts.Stand() && now.Sub(b.doubted) >= doubtAgain {
				b.doubt(now)
			}
			b.reports.flush(now, b.log)
			b.logLink(now)
			b.mu.Unlock()
		}
	}
}
