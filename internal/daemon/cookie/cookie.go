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
	"wasabideal/internal/log/ratelimit"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/overload/pending"
	"wasabideal/internal/overload/uplink"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/wire/datagram"
)

// Codec converts between datagrams of the network fabric and packets.
type Codec interface {
	// Decode parses a datagram and fails if it is malformed.
	Decode(data []byte) (router.Packet, error)
	// Forward appends to buffer the datagram that carries the received data to the
	// upstream that the verdict names.
	Forward(buffer, data []byte, v router.Verdict) []byte
	// Reset appends to buffer the datagram that resets a packet's flow, and returns
	// the datagram's destination.
	Reset(buffer []byte, p router.Packet) (netip.AddrPort, []byte)
}

const (
	// unconfirmedTTL is how long an unconfirmed notice (see package view) stays valid: a little
	// more than three announcement intervals of usually 1.2 s. Within this time, a restarted
	// voter receives an announcement from each live upstream.
	unconfirmedTTL = 4 * time.Second
	// forgetAfter is how long a silent upstream stays known, for flows that may still
	// be open there.
	forgetAfter = 90 * time.Second
	// tickInterval is the interval of the router's housekeeping.
	tickInterval = 100 * time.Millisecond
	// drainQuietPeriod is the time without a packet that ends a planned stop. minDrainTime is
	// the minimum duration of a planned stop: the fabric removes a balancer from rotation
	// after two failed checks, half a second apart.
	drainQuietPeriod = 600 * time.Millisecond
	minDrainTime     = 1500 * time.Millisecond
	// minSuspicionInterval is the minimum time between two updates of the router's
	// suspicions: when hundreds of upstreams fail together, many voters report
	// suspicions within some tenths of a second.
	minSuspicionInterval = 20 * time.Millisecond
	// livenessReportInterval is how often liveness reports on suspected upstreams are
	// repeated: if a report is lost, a live upstream would count as unresponsive. Over three levels
	// of balancers, a report and the resulting update take less than this interval.
	livenessReportInterval = 300 * time.Millisecond
	// readErrorDelay prevents a socket that fails repeatedly from filling the log.
	readErrorDelay = 100 * time.Millisecond
	// forwardHeadroom is the space for the headers that forwarding adds to a packet.
	forwardHeadroom = 64
)

// Settings configure the process.
type Settings struct {
	// Fabric is the address that receives datagrams.
	Fabric string
	// Sources are the RPC addresses of some voters.
	Sources []string
	Zone    string
	Token   string
	// Rpc is the address for RPCs of other balancers; it is empty if none may follow this
	// balancer. Announcements is the address to which upstreams announce themselves.
	Rpc, Announcements string
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// Shape is the shape of the tree of the zone's balancers.
	Shape tree.Shape
	// StaleAfter is the maximum age of state relayed by another balancer.
	StaleAfter time.Duration
	// StopTimeout limits the duration of a planned stop.
	StopTimeout time.Duration
	Codec       Codec
	// SharedLoad enables the exchange of load reports with other balancers and the voters, and the
	// decisions that use them.
	SharedLoad bool
	// UnevenUpstreams enables, in addition to SharedLoad, the detection of upstreams that answer
	// more shortly than others.
	UnevenUpstreams bool
	// LinkBytesPerSecond is the bandwidth of the VM's link; 0 disables pacing.
	LinkBytesPerSecond float64
	// Off lists the disabled mechanisms.
	Off mechanism.Off
	// Clock returns the current time.
	Clock func() time.Time
}

// Balancer is a running balancer process.
type Balancer struct {
	settings Settings
	log      hclog.Logger
	socket   *datagram.Socket
	follower *follower.Follower
	fanout   *fanout
	// load is nil if the load is not shared.
	load   *loadExchange
	mu     sync.Mutex
	router *router.Router
	view   *view.View
	// suspicions holds the voters' reports on upstreams that leave packets unanswered.
	suspicions *suspicions.Set
	// suspicionsApplied is when the router last received the suspicions; suspicionPacer
	// schedules the next update.
	suspicionsApplied time.Time
	suspicionPacer    pacing.Pacer
	// unresponsive holds the subjects that are logged as unresponsive.
	unresponsive map[evidence.Subject]bool
	// unplaced buffers packets that cannot be placed yet.
	unplaced *pending.Buffer[packetKey, bufferedPacket]
	// retryUnplaced is set if unplaced holds packets that wait for an upstream to warm up or to become
	// established.
	retryUnplaced bool
	// awaitingCapacity buffers packets that wait for capacity at their upstream.
	awaitingCapacity *pending.Buffer[packetKey, bufferedPacket]
	// uploads is nil if pacing is disabled.
	uploads *uploads
	// link is nil if new flows are not rejected by the capacity of the link.
	link          *link
	configuration configuration.Configuration
	// evacuations are the evacuation orders in force for availability zones.
	evacuations evacuation.Evacuations
	// cookieLog limits the log lines on shared cookies.
	cookieLog *ratelimit.Limiter
	// claimsNotified is the digest of the claims on shared cookies that followers were last notified of.
	claimsNotified uint64
	// refreshDue is set if a new configuration may allow placing buffered packets.
	refreshDue bool
	lastPacket time.Time
	// outputs are the reusable buffers for outgoing datagrams; the current batch has filled the
	// first outputsUsed of them.
	outputs     [][]byte
	outputsUsed int
	leaving     atomic.Bool
	ready       atomic.Bool
	decisionLog decisionLog
	zoneLog     zoneLog
	// weightLog limits the log lines on weights. verdictsApplied is the revision of the verdicts that
	// the router holds.
	weightLog       *ratelimit.Limiter
	verdictsApplied uint64
	counts          *counts
	ctx             context.Context
	cancel          context.CancelFunc
	running         sync.WaitGroup
}

// Listen creates a balancer and opens its sockets.
func Listen(s Settings, log hclog.Logger) (*Balancer, error) {
	socket, err := datagram.Listen(s.Fabric)
	if err != nil {
		return nil, fmt.Errorf("listen on Fabric: %w", err)
	}
	b := &Balancer{
		settings: s, log: log, socket: socket, counts: newCounts(),
		suspicions: suspicions.New(follower.ContactLease), unresponsive: map[evidence.Subject]bool{},
		unplaced: pending.New[packetKey, bufferedPacket](), awaitingCapacity: pending.New[packetKey, bufferedPacket](),
		weightLog: ratelimit.New(maxWeightLines), cookieLog: ratelimit.New(maxCookieLines),
		view: view.New(view.Settings{ContactLease: follower.ContactLease, UnconfirmedTTL: unconfirmedTTL, ForgetAfter: forgetAfter}),
	}
	if uplink.NeedsPacing(s.LinkBytesPerSecond) && !s.Off.Has(mechanism.Pacing) {
		b.uploads = newUploads(s.LinkBytesPerSecond)
	}
	if s.SharedLoad {
		b.counts.registerSharedLoad(s.uneven())
	}
	b.link = newLink(s, b.counts.registry)
	self, err := b.setUpFollower()
	b.router = router.New(router.Settings{
		Zone: s.Zone, Self: self, Started: s.Clock(), Seed: xxhash.Sum64String(s.Fabric), Off: s.Off, Suspected: b.recordSuspicion,
		ZoneRefused: b.recordZoneRefusal, Reset: b.recordFlowReset, CookieShared: b.recordSharedCookie,
		Opened: b.counts.opened.Record, Answered: b.counts.answered.Record,
		MeasureAnswers: s.uneven(), ShortAnswer: func() { b.counts.answersShort.Inc(1) },
	})
	b.setUpLoad(self)
	return b, err
}

// Address returns the address that receives datagrams.
func (b *Balancer) Address() netip.AddrPort { return b.socket.Address() }

// Start starts serving in the background.
func (b *Balancer) Start(ctx context.Context) {
	b.ctx, b.cancel = context.WithCancel(ctx)
	b.follower.Start(b.ctx, b.settings.Sources)
	b.goRun(b.read)
	b.goRun(b.runTicker)
	if b.fanout != nil {
		b.goRun(b.serveFollowers)
	}
	if b.uploads != nil {
		b.goRun(b.runPacing)
	}
	if b.load != nil {
		b.goRun(b.runLoad)
		b.goRun(func() { b.load.socket.Serve(b.load) })
	}
}

func (b *Balancer) goRun(f func()) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		f()
	}()
}

// SetSeeds sets the voter addresses after a change of the settings.
func (b *Balancer) SetSeeds(voters []string) { b.follower.SetSeeds(voters) }

// Ready reports whether the balancer can place flows and is not stopping.
func (b *Balancer) Ready() bool { return b.ready.Load() && !b.leaving.Load() }

// Configuration returns the configuration in force.
func (b *Balancer) Configuration() configuration.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.configuration
}

// HasUpstreams reports whether any upstreams are known.
func (b *Balancer) HasUpstreams() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Upstreams() > 0
}

// OnConfiguration applies a configuration if it is newer than the one in force.
func (b *Balancer) OnConfiguration(address string, c configuration.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Revision <= b.configuration.Revision {
		return
	}
	if err := b.router.Configure(c); err != nil {
		b.log.Error("configuration refused", "Error", err)
		return
	}
	held := b.configuration.Revision
	b.configuration = c
	b.publishConfiguration(c)
	b.log.Info("configuration in force", "Revision", c.Revision, "Held", held, "From", address, "Routes", len(c.Routes))
	b.refreshDue = true
	b.refresh(b.settings.Clock())
}

// OnVoterState applies a voter's update.
func (b *Balancer) OnVoterState(now time.Time, x origins.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	contact := now.Add(-x.Age)
	b.view.Apply(now, view.Update{Voter: x.Voter, Life: x.Life, Version: x.Version, Contact: contact, Notices: x.Notices})
	b.refresh(now)
	switch {
	case !x.Doubted: // the update carries no suspicions; the stored ones stay valid
		b.suspicions.RecordContact(contact, x.Voter)
	case b.suspicions.UpdateRelayed(now, contact, x.Voter, x.Subjects):
		b.scheduleSuspicions(now)
	}
	b.wakeFollowers(x)
}

// refresh updates the router with the upstreams that the voters report. The caller holds
// the lock.
func (b *Balancer) refresh(now time.Time) {
	changes, changed := b.view.Changes(now)
	if !changed && !b.refreshDue {
		return
	}
	b.refreshDue = false
	b.router.Update(now, changes)
	b.notifyClaims()
	ready := b.configuration.Revision > 0 && b.router.Upstreams() > 0
	if ready != b.ready.Swap(ready) {
		b.log.Info("readiness", "Ready", ready, "Revision", b.configuration.Revision, "Upstreams", b.router.Upstreams())
	}
	// Buffered packets are placed after the readiness update: a client that sees a placed
	// packet must also see the balancer ready.
	b.placeBuffered(now, b.unplaced)
}

func (b *Balancer) recordSuspicion(t view.Target) {
	b.counts.suspicions.Inc(1)
	b.log.Info("upstream suspected", "Incarnation", fmt.Sprintf("%x", t.Incarnation), "Service", t.Service,
		"Address", t.Address.String(), "Live", t.Live)
}

func (b *Balancer) recordZoneRefusal(zone string) {
	b.counts.zonesRefused.Inc(1)
	b.log.Warn("all upstreams of a zone refuse new flows; placing them in other zones", "Zone", zone)
}

func (b *Balancer) runTicker() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			b.mu.Lock()
			now := b.settings.Clock()
			b.router.SetBalancers(b.follower.Balancers())
			peers := b.follower.Peers()
			b.router.SetPeers(now, peers)
			b.router.SetLevels(b.settings.Shape.Levels(len(peers)))
			b.updateLink(now)
			b.router.Tick(now)
			b.refresh(now)
			b.placeBuffered(now, b.awaitingCapacity)
			if b.retryUnplaced {
				b.retryUnplaced = false
				b.placeBuffered(now, b.unplaced)
			}
			if b.suspicions.Expire(now) || b.suspicions.Any() && now.Sub(b.suspicionsApplied) >= livenessReportInterval {
				b.applySuspicions(now)
			}
			b.updateUneven(now)
			b.decisionLog.flush(now, b.log)
			b.logLink(now)
			b.logLinkAdmission(now)
			b.logZoneDecisions(now)
			b.mu.Unlock()
		}
	}
}
