package configuration

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Protocols a service may use.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Service is a set of addresses with one pool of upstreams behind them.
type Service struct {
	Name     string
	Protocol string
	// Group names the balancers that serve it; empty is all balancers.
	Group     string
	Addresses []netip.AddrPort
	// TokenSha256 is the hex digest of the token with which upstreams join.
	TokenSha256 string
	// Repeatable says that a request without a key may be sent twice.
	Repeatable bool
	// Priority orders services under overload; a higher one is served first.
	Priority int
	// HealthPath is where an upstream of the service answers health checks over HTTP.
	HealthPath string `json:",omitzero" cbor:",omitempty"`
	// MaxFlows is the number of flows that one upstream holds; 0 sets no bound.
	MaxFlows int `json:",omitzero" cbor:",omitempty"`
	// Application is the protocol inside the flows as the operator names it; the
	// balancer does not read it.
	Application string `json:",omitzero" cbor:",omitempty"`
	// TLS says that the flows are encrypted between the two ends.
	TLS bool `json:",omitzero" cbor:",omitempty"`
	// Cold is what upstreams bear that have just started; nil where operators say nothing.
	Cold *Cold `json:",omitzero" cbor:",omitempty"`
}

// Cold is what an upstream of a service bears just after its start.
type Cold struct {
	_ struct{} `cbor:",toarray"`
	// For is how long an upstream stays cold; its announcements tell the rest of it.
	For time.Duration
	// PerSecond is how many requests it bears in any second then, from all balancers
	// together; 0 sets no bound.
	PerSecond float64
}

// ColdRate is how many requests a second a cold upstream of the service bears, 0 where
// there is no bound.
func (s Service) ColdRate() float64 {
	if s.Cold == nil {
		return 0
	}
	return s.Cold.PerSecond
}

// Preset is a named set of limits; exactly one is in force.
type Preset struct {
	Name string
	// SpillPercent is how far above the pool's mean load a zone's own upstream
	// may be, in percent, before a new flow goes to another zone.
	SpillPercent int
	// SlotLimit caps requests in flight per upstream, whatever it announces.
	SlotLimit int
	// QueueLimit caps requests that wait per service at one balancer.
	QueueLimit int
	// RetryPercent is the retry budget as a share of first attempts.
	RetryPercent int
	// ColdStartSeconds is the time a new upstream takes to reach its full share.
	ColdStartSeconds int
	// Closed names the services that take no new flow while this preset is in force.
	Closed []string
}

// OrdinaryPreset returns the preset of a system for which no operator set one;
// its limits are those of the shipped example files.
func OrdinaryPreset() Preset {
	return Preset{Name: "ordinary", SpillPercent: 25, SlotLimit: 2, QueueLimit: 64, RetryPercent: 10, ColdStartSeconds: 3}
}

// Configuration is the whole of what operators set, at one revision.
type Configuration struct {
	Revision uint64
	InForce  string
	Services []Service
	Presets  []Preset
	// Routes are the addresses that new flows may name, with the services behind them.
	Routes []Route `json:",omitzero" cbor:",omitempty"`
	// Limits bound what callers may send.
	Limits Limits `json:",omitzero" cbor:",omitzero"`
	// Extra are members of the operator's document that mean nothing here, encoded, by where
	// they stand: an operator reads back what was sent. Only voters keep them.
	Extra map[string][]byte `json:",omitzero" cbor:",omitempty"`
}

// WithoutExtra returns the configuration as balancers need it.
func (c Configuration) WithoutExtra() Configuration {
	c.Extra = nil
	return c
}

// InvalidError says which key of a configuration is wrong and what is allowed.
type InvalidError struct {
	Key, Value, Allowed string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Key, e.Value, e.Allowed)
}

// WithPreset returns the configuration with another preset in force.
func (c Configuration) WithPreset(name string) Configuration {
	c.InForce = name
	return c
}

// WithRevision returns the configuration at another revision.
func (c Configuration) WithRevision(r uint64) Configuration {
	c.Revision = r
	return c
}

// ForGroup returns the configuration with the services of one group of
// balancers: the others' addresses, upstreams and flows cost it nothing.
func (c Configuration) ForGroup(group string) Configuration {
	c.Services = lo.Filter(c.Services, func(s Service, _ int) bool { return s.Group == "" || s.Group == group })
	return c
}

// Preset returns the preset in force; a checked configuration always has one.
func (c Configuration) Preset() Preset {
	p, _ := c.preset(c.InForce)
	return p
}

func (c Configuration) preset(name string) (Preset, bool) {
	return lo.Find(c.Presets, func(p Preset) bool { return p.Name == name })
}

// Service returns the service of that name.
func (c Configuration) Service(name string) (Service, bool) {
	return lo.Find(c.Services, func(s Service) bool { return s.Name == name })
}

// Check returns an InvalidError for the first key that cannot be put in force.
func (c Configuration) Check() error {
	if err := c.checkPresets(); err != nil {
		return err
	}
	if err := c.checkServices(); err != nil {
		return err
	}
	return c.checkRoutes()
}

func (c Configuration) checkPresets() error {
	if len(c.Presets) == 0 {
		return &InvalidError{Key: "Presets", Value: "", Allowed: "at least one preset"}
	}
	names := lo.Map(c.Presets, func(p Preset, _ int) string { return p.Name })
	if dup := lo.FindDuplicates(names); len(dup) > 0 {
		return &InvalidError{Key: "Presets.Name", Value: dup[0], Allowed: "each name once"}
	}
	for _, p := range c.Presets {
		if err := p.check(); err != nil {
			return err
		}
		for _, n := range p.Closed {
			if _, ok := c.Service(n); !ok {
				return &InvalidError{Key: "Presets.Closed", Value: n, Allowed: "the name of a service"}
			}
		}
	}
	if !slices.Contains(names, c.InForce) {
		return &InvalidError{Key: "InForce", Value: c.InForce, Allowed: fmt.Sprintf("one of %v", names)}
	}
	return nil
}

func (p Preset) check() error {
	limits := []struct {
		key              string
		value, low, high int
	}{
		{"SpillPercent", p.SpillPercent, 0, 1000},
		{"SlotLimit", p.SlotLimit, 1, 10000},
		{"QueueLimit", p.QueueLimit, 0, 100000},
		{"RetryPercent", p.RetryPercent, 0, 100},
		{"ColdStartSeconds", p.ColdStartSeconds, 0, 3600},
	}
	if p.Name == "" {
		return &InvalidError{Key: "Presets.Name", Value: "", Allowed: "a name"}
	}
	for _, l := range limits {
		if l.value < l.low || l.value > l.high {
			return &InvalidError{
				Key: "Presets." + p.Name + "." + l.key, Value: fmt.Sprint(l.value),
				Allowed: fmt.Sprintf("%d to %d", l.low, l.high),
			}
		}
	}
	return nil
}

func (c Configuration) checkServices() error {
	names := map[string]bool{}
	addresses := map[string]string{}
	for _, s := range c.Services {
		if s.Name == "" || names[s.Name] {
			return &InvalidError{Key: "Services.Name", Value: s.Name, Allowed: "a name, each once"}
		}
		names[s.Name] = true
		if s.Protocol != TCP && s.Protocol != UDP {
			return &InvalidError{Key: "Services." + s.Name + ".Protocol", Value: s.Protocol, Allowed: "tcp or udp"}
		}
		if c := s.Cold; c != nil && (c.For < 0 || c.PerSecond < 0) {
			return &InvalidError{Key: "Services." + s.Name + ".Cold", Value: fmt.Sprintf("%s, %g", c.For, c.PerSecond), Allowed: "0 or more"}
		}
		for _, a := range s.Addresses {
			id := s.Protocol + " " + a.String()
			if !a.IsValid() || !a.Addr().Is4() || a.Port() == 0 {
				return &InvalidError{Key: "Services." + s.Name + ".Addresses", Value: a.String(), Allowed: "IPv4:port"}
			}
			if o, ok := addresses[id]; ok {
				return &InvalidError{Key: "Services." + s.Name + ".Addresses", Value: a.String(), Allowed: "an address not held by " + o}
			}
			addresses[id] = s.Name
		}
	}
	return nil
}
