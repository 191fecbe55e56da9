package balancer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/control/rostermanager"
	"wasabideal/internal/member/registrar"
	"wasabideal/internal/member/swim"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/roster"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/request/claimer"
	"wasabideal/internal/request/dispatch"
	"wasabideal/internal/request/door"
	"wasabideal/internal/request/slotassignment"
)

const (
	claimTimeout         = time.Second
	reportInterval       = 500 * time.Millisecond
	refreshInterval      = 100 * time.Millisecond
	expireInterval       = 5 * time.Second
	handOverPollInterval = 50 * time.Millisecond
	httpIdleTimeout      = time.Minute
	// The initial limits apply until refreshProxy sets the limits of the preset in force.
	initialQueueLimit   = 50
	initialRetryPercent = 10
	initialSlotLimit    = 1
)

// serviceServer serves the HTTP requests of one service.
type serviceServer struct {
	service  string
	listener net.Listener
	server   *http.Server
	proxy    *door.Proxy
}

func (e *serviceServer) close() {
	if e.server != nil {
		_ = e.server.Close()
	}
	_ = e.listener.Close()
}

func (b *Balancer) listenHTTP() error {
	b.serviceServers = map[string]*serviceServer{}
	for service, address := range b.settings.Doors {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen on Door of %s: %w", service, err)
		}
		b.serviceServers[service] = &serviceServer{service: service, listener: l}
	}
	return nil
}

func (b *Balancer) httpAddresses() map[string]string {
	return lo.MapValues(b.serviceServers, func(e *serviceServer, _ string) string { return e.listener.Addr().String() })
}

func (b *Balancer) rosterMember() roster.Member {
	s := b.settings.Reducer.Swim.Self
	return roster.Member{Name: s.Name, Zone: s.Zone, Start: s.Start, Rpc: b.settings.Reducer.Source}
}

func (b *Balancer) createHTTPServers() {
	c := claimer.New(b.memory, claimTimeout, b.memory.View)
	for _, e := range b.serviceServers {
		e.proxy = door.New(door.Settings{
			Service: e.service, Name: b.settings.Reducer.Router.Self, Clock: b.settings.Clock,
			Limits: dispatch.Settings{SlotLimit: initialSlotLimit, QueueLimit: initialQueueLimit, RetryPercent: initialRetryPercent},
		}, c, b.log)
		e.server = &http.Server{
			Handler: e.proxy, ReadHeaderTimeout: headerTimeout, IdleTimeout: httpIdleTimeout, ErrorLog: b.log.StandardLogger(nil),
			Protocols: protocols(),
		}
	}
}

// protocols returns HTTP/1.1 and HTTP/2 without TLS. In a planned stop, HTTP/2 clients are
// sent GOAWAY and connect to another balancer.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (b *Balancer) startHTTPServers() {
	for _, e := range b.serviceServers {
		b.goRun(func() { e.proxy.Run(b.ctx) })
		b.goRun(func() {
			if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) && b.ctx.Err() == nil {
				b.log.Error("HTTP server stopped", "Service", e.service, "Error", err)
			}
		})
	}
	r := registrar.New(b.settings.Puller.Sources, reportInterval, b.pool, b.rosterReport)
	b.goRun(func() { r.Run(b.ctx) })
	b.goRun(b.refreshProxies)
}

func (b *Balancer) rosterReport() rostermanager.Report {
	return rostermanager.Report{Member: b.rosterMember(), Leaving: b.leaving.Load(), Moved: b.memory.CopiedEpoch()}
}

// RosterVersion returns the version of the current roster.
func (b *Balancer) RosterVersion() uint64 { return b.memory.View().Roster.Version }

// OfferRoster applies a roster if it is newer than the current one, and copies the keys stored
// here to the members that must store them under the new roster.
func (b *Balancer) OfferRoster(r roster.Roster) {
	if !b.memory.SetRoster(r) {
		return
	}
	b.source.PublishRoster(r)
	b.mu.Lock()
	if b.cancelMove != nil {
		b.cancelMove()
	}
	ctx, cancel := context.WithCancel(b.ctx)
	b.cancelMove = cancel
	b.mu.Unlock()
	b.goRun(func() { b.memory.CopyRecords(ctx) })
}

// refreshProxies updates the proxies with the current members and upstreams, and removes expired
// keys.
func (b *Balancer) refreshProxies() {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-refresh.C:
			for _, e := range b.serviceServers {
				b.refreshProxy(e)
			}
		case <-expire.C:
			b.memory.Expire()
		}
	}
}

func (b *Balancer) refreshProxy(e *serviceServer) {
	now := b.settings.Clock()
	b.mu.Lock()
	c := b.reducer.Configuration()
	upstreams := b.reducer.Serving(now, e.service)
	members := b.reducer.Members()
	shares := lo.Map(upstreams, func(u upstream.Upstream, _ int) float64 { return b.reducer.Share(now, u.Address) })
	b.mu.Unlock()
	service, _ := c.Service(e.service)
	e.proxy.SetService(service.Repeatable, service.Priority)
	names := lo.FilterMap(members, func(m swim.Member, _ int) (string, bool) { return m.Name, !m.Passive })
	assignment := slotassignment.Assign(lo.Map(upstreams, func(u upstream.Upstream, _ int) slotassignment.Upstream {
		return slotassignment.Upstream{Name: u.Address.String(), Slots: usableSlots(u, c)}
	}), names)
	targets := make([]dispatch.Target, 0, len(upstreams))
	httpAddresses := map[string]string{}
	for i, u := range upstreams {
		name := u.Address.String()
		if u.Door == "" {
			continue
		}
		httpAddresses[name] = u.Door
		targets = append(targets, dispatch.Target{
			Name: name, Slots: usableSlots(u, c), Share: shares[i], AssignedSlots: assignment.Slots(b.settings.Reducer.Router.Self, name),
		})
	}
	p := c.Preset()
	e.proxy.SetTargets(dispatch.Settings{SlotLimit: p.SlotLimit, QueueLimit: p.QueueLimit, RetryPercent: p.RetryPercent}, targets, httpAddresses)
}

// usableSlots returns the slots of an upstream, limited by the preset in force.
func usableSlots(u upstream.Upstream, c configuration.Configuration) int {
	return min(int(u.Slots), max(c.Preset().SlotLimit, 1))
}

// waitHandedOver returns a channel that is closed once all requests are complete, and all flows
// and keys are handed over.
func (b *Balancer) waitHandedOver(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	b.goRun(func() {
		defer close(done)
		var wg sync.WaitGroup
		for _, e := range b.serviceServers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_ = e.server.Shutdown(ctx)
			}()
		}
		wg.Wait()
		select {
		case <-b.drained:
		case <-b.ctx.Done():
		}
		for b.ctx.Err() == nil && ctx.Err() == nil && b.holdsKeys() {
			time.Sleep(handOverPollInterval)
		}
	})
	return done
}

// holdsKeys reports whether the current or the previous roster lists this balancer.
func (b *Balancer) holdsKeys() bool {
	r := b.memory.View().Roster
	self := b.rosterMember()
	if r.Contains(self) {
		return true
	}
	return lo.Contains(r.Previous, self)
}

func (b *Balancer) setRequestMetrics(set func(string, uint64)) {
	var total [6]int64
	for _, e := range b.serviceServers {
		c := &e.proxy.Counters
		for i, v := range []int64{c.Requests.Load(), c.Answered.Load(), c.NotRun.Load(), c.Unknown.Load(), c.Shed.Load(), c.Retried.Load()} {
			total[i] += v
		}
	}
	for i, name := range []string{"RequestsTotal", "AnsweredTotal", "NotRunTotal", "UnknownTotal", "ShedTotal", "RetriedTotal"} {
		set(name, uint64(total[i]))
	}
}
