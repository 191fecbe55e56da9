package run

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/operator/client"
	"wasabideal/internal/setting/defaults"
	"wasabideal/internal/setting/settings"
	"wasabideal/internal/setting/wiring"
	"wasabideal/internal/standin/caller"
	"wasabideal/internal/standin/fabric"
	"wasabideal/internal/standin/upstream"
)

const (
	groupToken    = "demo-group-token-0001"
	operatorToken = "demo-operator-token-1"
	anyPort       = "127.0.0.1:0"
	voterCount    = 3
)

var zones = []string{"Port Tawfik", "Adabiya", "Ismailia"}

// cluster is a small deployment in one process.
type cluster struct {
	ctx       context.Context
	log       hclog.Logger
	folder    string
	voters    []*control.Control
	sources   []string
	mu        sync.Mutex
	balancers map[string]*balancer.Balancer
	order     []string
	fabric    *fabric.Fabric
	callers   *caller.Caller
	upstreams []*upstream.Upstream
	operator  *client.Client
	killed    sync.WaitGroup
}

func newCluster(ctx context.Context, log hclog.Logger) (*cluster, error) {
	s := &cluster{ctx: ctx, log: log, balancers: map[string]*balancer.Balancer{}}
	var err error
	if s.folder, err = os.MkdirTemp("", "wasabideal-demo-"); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	if s.fabric, err = fabric.New(1); err != nil {
		return nil, err
	}
	if s.callers, err = caller.New(s.fabric, 1, messageTimeout); err != nil {
		return nil, err
	}
	return s, s.startVoters()
}

func (s *cluster) settingsFor(name, zone string) settings.Settings {
	x := settings.Settings{
		Role: settings.RoleBalancer, Name: name, Zone: zone, GroupToken: groupToken, OperatorToken: operatorToken,
		Listen: settings.Listen{Fabric: anyPort, Peer: anyPort, Rpc: anyPort, Admin: anyPort},
	}
	x.Listen.Door = []settings.HTTPListener{{Service: "orders", Address: anyPort}, {Service: "notes", Address: anyPort}}
	x.Balancer.Sources = s.sources
	x.Balancer.MaxFlows = 20000
	x.Balancer.StopTimeout = settings.Duration(20 * time.Second)
	return defaults.Defaults{}.Apply(x)
}

// startVoters opens all listeners first, because the settings of each voter contain all addresses.
func (s *cluster) startVoters() error {
	var listeners []net.Listener
	var initialVoters []settings.InitialVoter
	for i := range voterCount {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			return fmt.Errorf("listen for voter: %w", err)
		}
		listeners = append(listeners, l)
		initialVoters = append(initialVoters, settings.InitialVoter{Name: fmt.Sprintf("control-%d", i+1), Address: l.Addr().String()})
		s.sources = append(s.sources, l.Addr().String())
	}
	for i, f := range initialVoters {
		x := s.settingsFor(f.Name, zones[i])
		x.DataFolder = filepath.Join(s.folder, f.Name)
		x.Control.Founders = initialVoters
		w := wiring.Wiring{Clock: time.Now}
		c, err := control.Listen(w.Control(defaults.Defaults{}.Apply(x)), listeners[i], s.log.Named(f.Name))
		if err != nil {
			return err
		}
		c.Start(s.ctx)
		s.voters = append(s.voters, c)
	}
	s.operator = client.New(s.sources, operatorToken)
	return nil
}

func (s *cluster) addBalancer(zone string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprintf("balancer-%d", len(s.order)+1)
	x, err := wiring.Wiring{Clock: time.Now}.Balancer(s.settingsFor(name, zone))
	if err != nil {
		return "", err
	}
	b, err := balancer.Listen(x, s.log.Named(name))
	if err != nil {
		return "", err
	}
	b.SetSeeds(s.seeds())
	b.Start(s.ctx)
	s.balancers[name] = b
	s.order = append(s.order, name)
	s.fabric.Add(b.Addresses().Fabric)
	return name, nil
}

func (s *cluster) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, name := range s.order {
		if b := s.balancers[name]; b != nil {
			seeds = append(seeds, b.Addresses().Peer)
		}
	}
	return seeds
}

// detach removes a balancer from the cluster. The balancer keeps running and stays in the fabric.
func (s *cluster) detach(name string) *balancer.Balancer {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.balancers[name]
	delete(s.balancers, name)
	return b
}

func (s *cluster) live() []*balancer.Balancer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var bs []*balancer.Balancer
	for _, name := range s.order {
		if b := s.balancers[name]; b != nil {
			bs = append(bs, b)
		}
	}
	return bs
}

func (s *cluster) adminAddresses() []string {
	var addresses []string
	for _, b := range s.live() {
		addresses = append(addresses, b.Addresses().Admin)
	}
	return addresses
}

func (s *cluster) httpAddresses(service string) []string {
	var addresses []string
	for _, b := range s.live() {
		addresses = append(addresses, b.Addresses().Doors[service])
	}
	return addresses
}

// runCount returns how often the upstreams have run the request with a key.
func (s *cluster) runCount(key string) int {
	n := 0
	for _, u := range s.upstreams {
		n += u.RunCount(key)
	}
	return n
}

func joinToken(service string) string { return "join-" + service }

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func demoConfiguration() configuration.Configuration {
	service := func(name, address string, priority int) configuration.Service {
		return configuration.Service{
			Name: name, Protocol: configuration.TCP, Addresses: []netip.AddrPort{netip.MustParseAddrPort(address)},
			TokenSha256: sha256Hex(joinToken(name)), Priority: priority,
		}
	}
	preset := func(name string, spill, queue int) configuration.Preset {
		return configuration.Preset{Name: name, SpillPercent: spill, SlotLimit: 2, QueueLimit: queue, RetryPercent: 10, ColdStartSeconds: 2}
	}
	return configuration.Configuration{
		InForce:  "ordinary",
		Services: []configuration.Service{service("orders", "10.20.0.1:443", 10), service("notes", "10.20.0.2:443", 1)},
		Presets:  []configuration.Preset{preset("ordinary", 5, 50), preset("peak", 0, 200), preset("maintenance", 20, 20)},
	}
}

func (s *cluster) addUpstream(service, zone string) error {
	c := demoConfiguration()
	v, _ := c.Service(service)
	u, err := upstream.Start(s.ctx, upstream.Settings{
		Name: fmt.Sprintf("%s-%d", service, len(s.upstreams)+1), Service: service, Zone: zone, Token: joinToken(service),
		Addresses: v.Addresses, Slots: 2, MeanServiceTime: 20 * time.Millisecond, Callers: s.callers.Address(),
		Balancers: s.adminAddresses, AnnounceInterval: time.Second, Seed: uint64(len(s.upstreams)),
	})
	if err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, u)
	return nil
}

func (s *cluster) close() {
	s.callers.Close()
	for _, u := range s.upstreams {
		u.Kill()
	}
	s.killed.Wait()
	for _, b := range s.live() {
		b.Kill()
	}
	for _, c := range s.voters {
		c.Stop()
	}
	s.fabric.Close()
	_ = os.RemoveAll(s.folder)
}

// imbalance returns the open flows of the most loaded upstream of a service,
// divided by the mean; draining upstreams are excluded.
func (s *cluster) imbalance(service string) float64 {
	var open []int
	for _, u := range s.upstreams {
		if u.Settings().Service == service && !u.Draining() {
			open = append(open, u.Counts().Open)
		}
	}
	total := 0
	for _, n := range open {
		total += n
	}
	if total == 0 {
		return 0
	}
	return float64(slices.Max(open)) * float64(len(open)) / float64(total)
}
