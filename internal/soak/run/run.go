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
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/soak/fleet"
	"wasabideal/internal/soak/proxy"
)

const (
	voters = 3
	// wideLinkMbps is so much that balancers do not budget their link; narrowLinkMbps is the link
	// of a small VM.
	wideLinkMbps, narrowLinkMbps = 1000, 2
	// maxZones is the maximum number of availability zones.
	maxZones = 8
	// startTimeout limits the time until the first request is answered.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last fault within which all voters must answer reads.
	recoveryTimeout = 12 * time.Second
	// faultSettleTime is how long time bounds are not checked after a fault.
	faultSettleTime = 5 * time.Second
	// readinessInterval is the interval of the fabric's readiness checks. After two consecutive
	// failures, a balancer is removed from rotation.
	readinessInterval = 250 * time.Millisecond
	maxFailures       = 2
)

// Result holds the counts and violated invariants of a run.
type Result struct {
	Seed                                   uint64
	Opened, Unopened, Answered, Unanswered int
	Faults, Published                      int
	// Load is nil in a run without shared load.
	Load   *LoadResult `json:",omitempty"`
	Broken []string
}

// Run is the state of one soak run.
type Run struct {
	settings     Settings
	voterAPIs    []string
	processes    map[string]*fleet.Process
	processNames []string
	balancers    []string
	proxies      []*proxy.Proxy
	closers      []func()
	vms          []VM
	// burstCallers send requests only in bursts.
	burstCallers []*caller
	running      sync.WaitGroup

	mu        sync.Mutex
	upstreams []*simulatedUpstream
	stopped   map[uint64]bool
	// permittedServices are the services that each address had in any configuration sent.
	permittedServices map[netip.AddrPort]map[string]bool
	// evacuated holds the evacuated zones and the times at which the evacuations were acknowledged.
	evacuated               map[string]time.Time
	executions              map[string]int
	acknowledged, published uint64
	readyBalancers          []string
	result                  Result
	// lastFault is the time by which the last injected fault has ended at the latest.
	lastFault time.Time
	losses    diskLosses
	network   network
	// callersCPU and upstreamsCPU are the CPUs that all callers and all upstreams share.
	callersCPU, upstreamsCPU simulatedCPU
	// burstEnd is when the last burst of load ends.
	burstEnd                               time.Time
	load                                   LoadResult
	ended                                  bool
	opened, unopened, answered, unanswered int
}

// Execute executes one run and returns its counts and violated invariants.
//
// Cancelling the context ends fault injection early; the recovery is still checked.
func Execute(ctx context.Context, s Settings) (Result, error) {
	if err := s.check(); err != nil {
		return Result{Seed: s.Seed}, err
	}
	r := &Run{
		settings: s, processes: map[string]*fleet.Process{}, stopped: map[uint64]bool{}, executions: map[string]int{},
		permittedServices: map[netip.AddrPort]map[string]bool{}, evacuated: map[string]time.Time{}, lastFault: time.Now(), result: Result{Seed: s.Seed},
	}
	defer r.close()
	if err := r.start(); err != nil {
		return r.result, err
	}
	r.injectFaults(ctx)
	r.checkRecovery()
	if s.SharedLoad {
		r.checkLoad()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.result.Opened, r.result.Unopened = r.opened, r.unopened
	r.result.Answered, r.result.Unanswered = r.answered, r.unanswered
	r.result.Published = int(r.published)
	if s.SharedLoad {
		r.result.Load = &r.load
	}
	return r.result, nil
}

func (r *Run) startGoroutine(f func()) {
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		f()
	}()
}

func (r *Run) hasEnded() bool {
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
	for _, u := range r.upstreams {
		r.stopUpstream(u)
	}
	for _, p := range r.proxies {
		p.Close()
	}
	for _, f := range r.closers {
		f()
	}
	r.running.Wait()
}

// vmsPerSubnet is the number of VMs of a kind and zone in one network of 256 addresses.
// maxVMsPerKind is the maximum number of VMs of a kind.
const (
	vmsPerSubnet  = 250
	maxVMsPerKind = 20 * vmsPerSubnet
)

// ip returns the unique loopback address of a VM.
func ip(kind, zone, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", kind, zone+1+n/vmsPerSubnet*maxZones, n%vmsPerSubnet+1)
}

// check returns a SettingError for counts outside their bounds.
func (s Settings) check() error {
	for _, x := range []struct {
		name  string
		value int
		limit int
	}{
		{"Zones", s.Zones, maxZones},
		{"Balancers", s.Balancers, maxVMsPerKind},
		{"Upstreams", s.Upstreams, maxVMsPerKind},
		{"Callers", s.Callers, maxVMsPerKind},
	} {
		if x.value < 1 || x.value > x.limit {
			return &SettingError{Name: x.name, Value: x.value, Max: x.limit}
		}
	}
	return nil
}

// The kinds of VMs are the second byte of their addresses.
const (
	kindVoter = 101 + iota
	kindProxy
	kindBalancer
	kindUpstream
	kindCaller
	kindBurstCaller
)

func (r *Run) start() error {
	var seeds []string
	for z := range voters {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(kindProxy, z, 0), ApiPort))
		r.voterAPIs = append(r.voterAPIs, fmt.Sprintf("%s:%d", ip(kindVoter, z, 0), ApiPort))
	}
	list := strings.Join(seeds, ",")
	for z := range voters {
		p, err := proxy.Listen(fmt.Sprintf("%s:%d", ip(kindProxy, z, 0), RpcPort), fmt.Sprintf("%s:%d", ip(kindVoter, z, 0), RpcPort))
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, p)
		if err := r.startVM(VM{
			Role: "voter", Name: fmt.Sprint("voter-", z), Zone: r.zone(z), Ip: ip(kindVoter, z, 0), Seeds: list,
			Advertise: fmt.Sprintf("%s:%d", ip(kindProxy, z, 0), RpcPort), Founding: true,
		}); err != nil {
			return err
		}
	}
	for n := range r.settings.Balancers {
		z := n % r.settings.Zones
		m := VM{Role: "balancer", Name: fmt.Sprint("balancer-", n), Zone: r.zone(z), Ip: ip(kindBalancer, z, n), Seeds: list}
		if err := r.startVM(m); err != nil {
			return err
		}
		r.balancers = append(r.balancers, m.Ip)
	}
	return r.startTraffic()
}

func (r *Run) zone(z int) string { return fmt.Sprint("zone-", z%r.settings.Zones) }

func (r *Run) startVM(m VM) error {
	m.Folder, m.LinkMbps = filepath.Join(r.settings.Folder, m.Name), wideLinkMbps
	if r.settings.SharedLoad {
		m.LinkMbps = narrowLinkMbps
		m.Zones = strings.Join(lo.Times(r.settings.Zones, r.zone), ",")
	}
	if err := os.MkdirAll(m.Folder, 0o750); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	file := filepath.Join(r.settings.Folder, m.Name+".toml")
	if err := os.WriteFile(file, []byte(r.settings.Platform.Settings(m)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	p := &fleet.Process{
		Name: m.Name, Program: r.settings.Program, Arguments: []string{"machine"},
		Environment: []string{r.settings.Platform.Environment(file)}, Log: filepath.Join(r.settings.Folder, m.Name+".log"),
	}
	r.processes[m.Name] = p
	r.processNames = append(r.processNames, m.Name)
	r.vms = append(r.vms, m)
	return p.Start()
}

// clearFounding rewrites the settings files once the system runs. A VM that restarts, also with an
// empty disk, then joins the existing system instead of founding a new one.
func (r *Run) clearFounding() error {
	for _, m := range r.vms {
		m.Founding = false
		file := filepath.Join(r.settings.Folder, m.Name+".toml")
		if err := os.WriteFile(file, []byte(r.settings.Platform.Settings(m)), 0o600); err != nil {
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
		u, err := r.startUpstream(fmt.Sprintf("%s:%d", ip(kindUpstream, z, n), FabricPort), services[n%len(services)], r.zone(z))
		if err != nil {
			return err
		}
		r.upstreams = append(r.upstreams, u)
	}
	end := time.Now().Add(startTimeout)
	for !r.publish() {
		if time.Now().After(end) {
			return &BrokenError{Invariant: InvariantRecover, Detail: "the first configuration was not accepted"}
		}
	}
	if err := r.clearFounding(); err != nil {
		return err
	}
	r.startGoroutine(r.watchReadiness)
	for range r.settings.Busy {
		r.startGoroutine(r.burnCPU)
	}
	r.startGoroutine(r.operate)
	r.startGoroutine(r.evacuateZones)
	for n := range r.settings.Callers {
		c, err := r.listenAsCaller(kindCaller, n)
		if err != nil {
			return err
		}
		r.startGoroutine(c.openFlows)
	}
	if err := r.prepareBursts(); err != nil {
		return err
	}
	for r.answeredCount() == 0 {
		if time.Now().After(end) {
			return &BrokenError{Invariant: InvariantRecover, Detail: "no request was answered at the start"}
		}
		time.Sleep(readinessInterval)
	}
	return nil
}

func (r *Run) answeredCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

func (r *Run) nextRoute() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return route(r.opened % r.routes())
}

func (r *Run) isPermitted(address netip.AddrPort, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permittedServices[address][service]
}

func (r *Run) recordExecution(request string) {
	r.mu.Lock()
	r.executions[request]++
	twice := r.executions[request] > 1
	r.mu.Unlock()
	if twice {
		r.reportViolation(InvariantOnce, request)
	}
}

// stopUpstream stops an upstream unless it has been stopped before.
func (r *Run) stopUpstream(u *simulatedUpstream) {
	r.mu.Lock()
	before := r.stopped[u.self.Incarnation]
	r.stopped[u.self.Incarnation] = true
	r.mu.Unlock()
	if !before {
		u.stop()
	}
}

func (r *Run) isStopped(incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped[incarnation]
}

// checkReset reports a violation if the upstream of a reset flow, at its address, was neither stopped nor
// restarted.
// The report names the sender of the reset.
func (r *Run) checkReset(flow Segment, at netip.AddrPort, reset received) {
	r.mu.Lock()
	upstreams := slices.Clone(r.upstreams)
	r.mu.Unlock()
	// This code does not hold r.mu: hasCookie locks the upstream, and an upstream that handles a
	// packet holds its lock while it waits for r.mu.
	placed, alive := lo.Find(upstreams, func(u *simulatedUpstream) bool {
		return u.self.Address == at && u.hasCookie(flow.Cookie) && !r.isStopped(u.self.Incarnation)
	})
	if !alive {
		return
	}
	sender := reset.from.String()
	if reset.from.Addr() == placed.self.Address.Addr() {
		sender = "its upstream"
	}
	r.reportViolation(InvariantFlow, fmt.Sprintf("flow from %s to %s at upstream %x was reset by %s at %s, sequence %d (acknowledged %d)",
		flow.Caller, flow.Address, placed.self.Incarnation, sender, time.Now().UTC().Format(time.RFC3339Nano),
		reset.Sequence, flow.Acknowledged))
}

func (r *Run) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// maxViolations limits the violations in the result.
const maxViolations = 20

func (r *Run) reportViolation(invariant, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || len(r.result.Broken) >= maxViolations {
		return
	}
	r.result.Broken = append(r.result.Broken, (&BrokenError{Invariant: invariant, Detail: detail}).Error())
}

// timeBoundsReference returns the time against which time bounds are checked, usually now. If a
// fault may have been active in the last faultSettleTime, the result is the zero time, which violates
// no bound.
func (r *Run) timeBoundsReference() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastFault) < faultSettleTime {
		return time.Time{}
	}
	return time.Now()
}
