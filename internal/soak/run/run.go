package run

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/soak/fleet"
	"wasabideal/internal/soak/proxy"
)

const (
	voters = 3
	// zonesMost bounds the availability zones.
	zonesMost = 8
	// startTimeout bounds the start until the first flow opens.
	startTimeout = 20 * time.Second
	// settleFor is how long after the last fault everything must serve again.
	settleFor = 12 * time.Second
	// calmAfter is how long after a fault the bounds on time hold again.
	calmAfter = 5 * time.Second
	// readyEvery is how often the fabric checks balancers; two misses take one out.
	readyEvery = 250 * time.Millisecond
	missesMost = 2
)

// Result is what a run counted.
type Result struct {
	Seed                                   uint64
	Opened, Unopened, Answered, Unanswered int
	Faults, Published                      int
	Broken                                 []string
}

// Run is one run.
type Run struct {
	settings  Settings
	apis      []string
	processes map[string]*fleet.Process
	names     []string
	balancers []string
	proxies   []*proxy.Proxy
	closers   []func()
	machines  []Machine
	running   sync.WaitGroup

	mu       sync.Mutex
	backends []*backend
	gone     map[uint64]bool
	// sent are the services that any configuration sent allows an address.
	sent map[netip.AddrPort]map[string]bool
	// evacuated are the zones that are to get no new flows, with when that was acknowledged.
	evacuated               map[string]time.Time
	requests                map[string]int
	acknowledged, published uint64
	ready                   []string
	result                  Result
	lastFault               time.Time
	wiping                  atomic.Bool
	network                 network
	// callers and upstreams are the processors of their VMs.
	callers, upstreams                     processor
	ended                                  bool
	opened, unopened, answered, unanswered int
}

// Play plays one run and returns what it counted; its promises' breaches are in
// the result.
//
// The end of the context ends the faults early; what must hold is checked still.
func Play(ctx context.Context, s Settings) (Result, error) {
	if err := s.check(); err != nil {
		return Result{Seed: s.Seed}, err
	}
	r := &Run{
		settings: s, processes: map[string]*fleet.Process{}, gone: map[uint64]bool{}, requests: map[string]int{},
		sent: map[netip.AddrPort]map[string]bool{}, evacuated: map[string]time.Time{}, lastFault: time.Now(), result: Result{Seed: s.Seed},
	}
	defer r.close()
	if err := r.start(); err != nil {
		return r.result, err
	}
	r.disturb(ctx)
	r.checkRecovery()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.result.Opened, r.result.Unopened = r.opened, r.unopened
	r.result.Answered, r.result.Unanswered = r.answered, r.unanswered
	r.result.Published = int(r.published)
	return r.result, nil
}

func (r *Run) goRun(f func()) {
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		f()
	}()
}

func (r *Run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

func (r *Run) close() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	for _, p := range r.processes {
		p.Resume()
		p.Kill()
	}
	for _, b := range r.backends {
		if !r.isGone(b.self.Incarnation) {
			b.stop()
		}
	}
	for _, p := range r.proxies {
		p.Close()
	}
	for _, f := range r.closers {
		f()
	}
	r.running.Wait()
}

// subnet is how many machines of a kind and zone have addresses in one network of 256, and
// machinesMost how many there may be of a kind.
const (
	subnet       = 250
	machinesMost = 20 * subnet
)

// ip returns a loopback address of its own for a kind of machine.
func ip(kind, zone, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", kind, zone+1+n/subnet*zonesMost, n%subnet+1)
}

// check returns an error for settings that no run can be played with.
func (s Settings) check() error {
	for _, x := range []struct {
		name  string
		value int
		most  int
	}{
		{"Zones", s.Zones, zonesMost},
		{"Balancers", s.Balancers, machinesMost},
		{"Upstreams", s.Upstreams, machinesMost},
		{"Callers", s.Callers, machinesMost},
	} {
		if x.value < 1 || x.value > x.most {
			return &SettingError{Name: x.name, Value: x.value, Most: x.most}
		}
	}
	return nil
}

// The kinds of machines, as the second byte of their addresses.
const (
	kindVoter = 101 + iota
	kindProxy
	kindBalancer
	kindUpstream
	kindCaller
)

func (r *Run) start() error {
	var seeds []string
	for z := range voters {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(kindProxy, z, 0), ApiPort))
		r.apis = append(r.apis, fmt.Sprintf("%s:%d", ip(kindVoter, z, 0), ApiPort))
	}
	list := strings.Join(seeds, ",")
	for z := range voters {
		p, err := proxy.Listen(fmt.Sprintf("%s:%d", ip(kindProxy, z, 0), RpcPort), fmt.Sprintf("%s:%d", ip(kindVoter, z, 0), RpcPort))
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, p)
		if err := r.startMachine(Machine{
			Role: "voter", Name: fmt.Sprint("voter-", z), Zone: r.zone(z), Ip: ip(kindVoter, z, 0), Seeds: list,
			Advertise: fmt.Sprintf("%s:%d", ip(kindProxy, z, 0), RpcPort), Founding: true,
		}); err != nil {
			return err
		}
	}
	for n := range r.settings.Balancers {
		z := n % r.settings.Zones
		m := Machine{Role: "balancer", Name: fmt.Sprint("balancer-", n), Zone: r.zone(z), Ip: ip(kindBalancer, z, n), Seeds: list}
		if err := r.startMachine(m); err != nil {
			return err
		}
		r.balancers = append(r.balancers, m.Ip)
	}
	return r.startTraffic()
}

func (r *Run) zone(z int) string { return fmt.Sprint("zone-", z%r.settings.Zones) }

func (r *Run) startMachine(m Machine) error {
	m.Folder = filepath.Join(r.settings.Folder, m.Name)
	if err := os.MkdirAll(m.Folder, 0o750); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	file := filepath.Join(r.settings.Folder, m.Name+".toml")
	if err := os.WriteFile(file, []byte(r.settings.World.Settings(m)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	p := &fleet.Process{
		Name: m.Name, Program: r.settings.Program, Arguments: []string{"machine"},
		Environment: []string{r.settings.World.Environment(file)}, Log: filepath.Join(r.settings.Folder, m.Name+".log"),
	}
	r.processes[m.Name] = p
	r.names = append(r.names, m.Name)
	r.machines = append(r.machines, m)
	return p.Start()
}

// founded rewrites the settings once the system runs: a machine that starts
// later, also with an empty disk, joins it.
func (r *Run) founded() error {
	for _, m := range r.machines {
		m.Founding = false
		file := filepath.Join(r.settings.Folder, m.Name+".toml")
		if err := os.WriteFile(file, []byte(r.settings.World.Settings(m)), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	return nil
}

var services = []string{"orders", "notes"}

func route(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(8000+n))
}

func (r *Run) startTraffic() error {
	for n := range r.settings.Upstreams {
		z := n % r.settings.Zones
		b, err := r.startBackend(fmt.Sprintf("%s:%d", ip(kindUpstream, z, n), FabricPort), services[n%len(services)], r.zone(z))
		if err != nil {
			return err
		}
		r.backends = append(r.backends, b)
	}
	end := time.Now().Add(startTimeout)
	for !r.publish() {
		if time.Now().After(end) {
			return &BrokenError{Promise: PromiseRecover, Detail: "the first configuration was not accepted"}
		}
	}
	if err := r.founded(); err != nil {
		return err
	}
	r.goRun(r.watchReadiness)
	for range r.settings.Busy {
		r.goRun(r.burn)
	}
	r.goRun(r.operate)
	r.goRun(r.evacuateZones)
	for n := range r.settings.Callers {
		if err := r.startCaller(ip(kindCaller, n%r.settings.Zones, n)); err != nil {
			return err
		}
	}
	for r.answeredSoFar() == 0 {
		if time.Now().After(end) {
			return &BrokenError{Promise: PromiseRecover, Detail: "no request was answered at the start"}
		}
		time.Sleep(readyEvery)
	}
	return nil
}

func (r *Run) answeredSoFar() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

func (r *Run) someRoute() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return route(r.opened % len(services))
}

func (r *Run) allowed(address netip.AddrPort, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[address][service]
}

func (r *Run) ran(request string) {
	r.mu.Lock()
	r.requests[request]++
	twice := r.requests[request] > 1
	r.mu.Unlock()
	if twice {
		r.broken(PromiseOnce, request)
	}
}

func (r *Run) isGone(incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone[incarnation]
}

// flowReset holds that only flows of upstreams that ended are reset, and tells who sent the reset.
func (r *Run) flowReset(flow Segment, reset received) {
	r.mu.Lock()
	backends := slices.Clone(r.backends)
	r.mu.Unlock()
	// Not under the lock: a backend that takes a packet holds its own and asks for it.
	home, alive := lo.Find(backends, func(b *backend) bool {
		return b.cookie() == flow.Cookie && !r.isGone(b.self.Incarnation)
	})
	if !alive {
		return
	}
	sender := reset.from.String()
	if reset.from.Addr() == home.self.Address.Addr() {
		sender = "its upstream"
	}
	r.broken(PromiseFlow, fmt.Sprintf("flow from %s to %s at upstream %x was reset by %s at %s, sequence %d (acknowledged %d)",
		flow.Caller, flow.Address, home.self.Incarnation, sender, time.Now().UTC().Format(time.RFC3339Nano),
		reset.Sequence, flow.Acknowledged))
}

func (r *Run) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// brokenMost bounds the breaches that are told in full.
const brokenMost = 20

func (r *Run) broken(promise, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || len(r.result.Broken) >= brokenMost {
		return
	}
	r.result.Broken = append(r.result.Broken, (&BrokenError{Promise: promise, Detail: detail}).Error())
}

// calmSince returns the end of the last disturbance, as far as bounds on time go.
func (r *Run) calmSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastFault) < calmAfter {
		return time.Time{}
	}
	return time.Now()
}
