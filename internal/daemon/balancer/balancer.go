package balancer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/balancer/trace"
	"wasabideal/internal/configuration/puller"
	"wasabideal/internal/configuration/source"
	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/request/memory"
	"wasabideal/internal/wire/datagram"
	"wasabideal/internal/wire/pool"
)

// Settings configure a balancer process.
type Settings struct {
	Reducer reducer.Settings
	Puller  puller.Settings
	// Fabric, Peer, Rpc and Admin are the addresses to listen on.
	Fabric, Peer, Rpc, Admin string
	GroupToken               string
	OperatorToken            string
	Tick                     time.Duration
	// StopTimeout limits the duration of a planned stop.
	StopTimeout time.Duration
	// Clock returns the current time.
	Clock func() time.Time
	// Trace records events if set.
	Trace *trace.Writer
	// Doors are the addresses of the HTTP listeners, by service.
	Doors map[string]string
	// MaxKeys and KeyWindow limit the number and the age of stored request keys.
	MaxKeys   int
	KeyWindow time.Duration
	// SaveConfiguration saves the configuration in force to disk. SavedConfiguration is the
	// configuration saved before the start, if any. Both are nil without a disk.
	SaveConfiguration  func(configuration.Configuration) error
	SavedConfiguration *configuration.Configuration
}

// Balancer is a running balancer process.
type Balancer struct {
	settings               Settings
	log                    hclog.Logger
	mu                     sync.Mutex
	reducer                *reducer.Reducer
	effects                effect.List
	fabric                 *datagram.Socket
	peer                   *datagram.Socket
	rpc                    net.Listener
	admin                  net.Listener
	source                 *source.Source
	puller                 *puller.Puller
	fetching               atomic.Bool
	drained                chan struct{}
	drainedOnce            sync.Once
	stopRequested          chan struct{}
	stopOnce               sync.Once
	ctx                    context.Context
	cancel                 context.CancelFunc
	running                sync.WaitGroup
	savedRevision          uint64
	logLimiter             logLimiter
	loggedInvalidDatagrams uint64
	pool                   *pool.Pool
	memory                 *memory.Replica
	serviceServers         map[string]*serviceServer
	leaving                atomic.Bool
	cancelMove             context.CancelFunc
}

// Listen opens the sockets; for port 0 the system picks a free port, see Addresses.
func Listen(s Settings, log hclog.Logger) (*Balancer, error) {
	b := &Balancer{settings: s, log: log, drained: make(chan struct{}), stopRequested: make(chan struct{})}
	if err := b.listen(); err != nil {
		b.close()
		return nil, err
	}
	r := &b.settings.Reducer
	r.Router.Address = b.peer.Address()
	r.Swim.Self.Address = b.peer.Address()
	r.Source = b.rpc.Addr().(*net.TCPAddr).AddrPort()
	b.reducer = reducer.New(*r, s.Clock())
	b.source = source.New(func() bool { return false })
	b.puller = puller.New(s.Puller, log, b)
	b.pool = pool.New(s.GroupToken)
	b.memory = memory.New(memory.Settings{
		Self: b.rosterMember(), Window: s.KeyWindow, Limit: s.MaxKeys, Clock: s.Clock,
	}, b.pool, log)
	b.createHTTPServers()
	return b, nil
}

func (b *Balancer) listen() error {
	var err error
	if b.fabric, err = datagram.Listen(b.settings.Fabric); err != nil {
		return fmt.Errorf("listen on Fabric: %w", err)
	}
	if b.peer, err = datagram.Listen(b.settings.Peer); err != nil {
		return fmt.Errorf("listen on Peer: %w", err)
	}
	if b.rpc, err = net.Listen("tcp", b.settings.Rpc); err != nil {
		return fmt.Errorf("listen on Rpc: %w", err)
	}
	if b.admin, err = net.Listen("tcp", b.settings.Admin); err != nil {
		return fmt.Errorf("listen on Admin: %w", err)
	}
	return b.listenHTTP()
}

// Addresses holds the addresses that a balancer listens on.
type Addresses struct {
	Fabric, Peer netip.AddrPort
	Rpc, Admin   string
	// Doors maps services to the addresses of their HTTP listeners.
	Doors map[string]string
}

// Addresses returns the addresses that the balancer listens on.
func (b *Balancer) Addresses() Addresses {
	return Addresses{
		Fabric: b.fabric.Address(), Peer: b.peer.Address(),
		Rpc: b.rpc.Addr().String(), Admin: b.admin.Addr().String(), Doors: b.httpAddresses(),
	}
}

// SetSeeds sets the peers through which the balancer joins the cluster; it must be called before Start.
func (b *Balancer) SetSeeds(seeds []netip.AddrPort) {
	b.settings.Reducer.Swim.Seeds = seeds
	b.reducer = reducer.New(b.settings.Reducer, b.settings.Clock())
}

// Start starts serving in the background.
func (b *Balancer) Start(ctx context.Context) {
	b.ctx, b.cancel = context.WithCancel(ctx)
	if b.settings.Trace != nil {
		if err := b.settings.Trace.Begin(b.settings.Clock(), b.settings.Reducer); err != nil {
			b.log.Error("failed to start trace", "Error", err)
		}
	}
	if b.settings.SavedConfiguration != nil {
		b.Offer(*b.settings.SavedConfiguration)
	}
	b.goRun(func() { b.read(b.fabric, event.FabricDatagram) })
	b.goRun(func() { b.read(b.peer, event.PeerDatagram) })
	b.goRun(b.tick)
	b.goRun(func() { b.puller.Run(b.ctx) })
	b.goRun(b.serveRPC)
	b.goRun(b.serveAdmin)
	b.startHTTPServers()
}

func (b *Balancer) goRun(f func()) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		f()
	}()
}

// Stop stops the process gracefully. Within the stop timeout it completes requests and hands
// flows and keys over; then it notifies the other members that it has stopped.
func (b *Balancer) Stop(ctx context.Context) error {
	b.leaving.Store(true)
	_ = b.reduce(event.Event{Kind: event.StopPlanned})
	timeout := time.NewTimer(b.settings.StopTimeout)
	defer timeout.Stop()
	var err error
	select {
	case <-b.waitHandedOver(ctx):
	case <-timeout.C:
		err = &StopTimeoutError{After: b.settings.StopTimeout}
	case <-ctx.Done():
		err = &StopTimeoutError{}
	}
	_ = b.reduce(event.Event{Kind: event.Stopped})
	b.Kill()
	return err
}

// StopTimeoutError reports that a planned stop ended before all flows were handed over.
type StopTimeoutError struct{ After time.Duration }

func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("stopped after %s with flows not handed over; raise StopTimeout", e.After)
}

// Kill stops the process without handing flows over, like a crash.
func (b *Balancer) Kill() {
	if b.cancel != nil {
		b.cancel()
	}
	b.close()
	b.running.Wait()
}

func (b *Balancer) close() {
	if b.pool != nil {
		b.pool.Close()
	}
	for _, e := range b.serviceServers {
		e.close()
	}
	for _, s := range []*datagram.Socket{b.fabric, b.peer} {
		if s != nil {
			s.Close()
		}
	}
	for _, l := range []net.Listener{b.rpc, b.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Drained returns a channel that is closed when a planned stop has handed all flows over.
func (b *Balancer) Drained() <-chan struct{} { return b.drained }

// StopRequested returns a channel that is closed when an operator requests a planned stop.
func (b *Balancer) StopRequested() <-chan struct{} { return b.stopRequested }

func (b *Balancer) requestStop() { b.stopOnce.Do(func() { close(b.stopRequested) }) }

// Status returns the status shown to operators.
func (b *Balancer) Status() reducer.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reducer.Status(b.settings.Clock())
}

// Configuration returns the configuration in force.
func (b *Balancer) Configuration() configuration.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reducer.Configuration()
}

// Announce applies an upstream's announcement if the service's token is valid.
func (b *Balancer) Announce(u upstream.Upstream, token string) error {
	sum := sha256.Sum256([]byte(token))
	return b.reduce(event.Event{Kind: event.UpstreamAnnounced, Upstream: &u, TokenSha256: hex.EncodeToString(sum[:])})
}

// Offer applies a configuration if it is newer than the one in force, publishes it to peers and saves it.
func (b *Balancer) Offer(c configuration.Configuration) {
	_ = b.reduce(event.Event{Kind: event.ConfigurationReceived, Configuration: &c})
	current := b.Configuration()
	b.source.Publish(current)
	if b.settings.SaveConfiguration == nil || current.Revision <= b.savedRevision {
		return
	}
	b.savedRevision = current.Revision
	if err := b.settings.SaveConfiguration(current); err != nil {
		b.log.Warn("failed to save configuration", "Revision", current.Revision, "Error", err)
	}
}

// Evacuations returns the evacuation orders in force.
func (b *Balancer) Evacuations() evacuation.Evacuations {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reducer.Evacuations()
}

// OfferEvacuations applies evacuation orders if they are newer than those in force.
func (b *Balancer) OfferEvacuations(e evacuation.Evacuations) {
	before := b.Evacuations()
	_ = b.reduce(event.Event{Kind: event.EvacuationsReceived, Evacuations: &e})
	if current := b.Evacuations(); current.Revision > before.Revision {
		b.log.Info("zones evacuated", "Revision", current.Revision, "Zones", current.EvacuatedZones())
		b.source.PublishEvacuations(current)
	}
}

// BadInputError reports the number of datagrams dropped since the last log line.
type BadInputError struct{ Datagrams uint64 }

func (e *BadInputError) Error() string {
	return fmt.Sprintf("%d datagrams were malformed, unauthenticated or from unknown senders", e.Datagrams)
}
