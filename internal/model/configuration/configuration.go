package configuration

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"
)

// The protocols of a service.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Service is a set of addresses that share a pool of upstreams.
type Service struct {
	Name     string
	Protocol string
	// Group is the group of balancers that serve the service; empty means all balancers.
	Group     string
	Addresses []netip.AddrPort
	// TokenSha256 is the SHA-256 digest in hex of the token that upstreams authenticate with.
	TokenSha256 string
	// Repeatable is set if a request without an idempotency key may be retried whatever its
	// method.
	Repeatable bool
	// Priority ranks services under overload; the highest priority is served first.
	Priority int
	// HealthPath is the HTTP path of the health checks of the service's upstreams.
	HealthPath string `json:",omitzero" cbor:",omitempty"`
	// MaxFlows is the maximum number of flows per upstream; 0 means no limit.
	MaxFlows int `json:",omitzero" cbor:",omitempty"`
	// Application is the operator's name of the application protocol; the balancer
	// does not use it.
	Application string `json:",omitzero" cbor:",omitempty"`
	// TLS is set if flows are encrypted end to end.
	TLS bool `json:",omitzero" cbor:",omitempty"`
	// Cold limits the load of upstreams that have just started; nil if not configured.
	Cold *Cold `json:",omitzero" cbor:",omitempty"`
}

// Cold limits the load of an upstream just after its start.
type Cold struct {
	_ struct{} `cbor:",toarray"`
	// For is how long an upstream stays cold; its announcements contain the remaining time.
	For time.Duration
	// PerSecond is the maximum number of requests in any one second while the upstream is cold,
	// from all balancers together; 0 means no limit.
	PerSecond float64
}

// ColdRate returns the maximum requests per second of a cold upstream of the service; 0 means
// no limit.
func (s Service) ColdRate() float64 {
	if s.Cold == nil {
		return 0
	}
	return s.Cold.PerSecond
}

// Preset is a named set of limits; exactly one preset is active.
type Preset struct {
	Name string
	// SpillPercent is how far, in percent, the load of an upstream of the local zone may
	// exceed the mean of the pool before new flows go to other zones.
	SpillPercent int
	// SlotLimit limits requests in flight per upstream, even if it announces more slots.
	SlotLimit int
	// QueueLimit limits the queued requests per service and balancer.
	QueueLimit int
	// RetryPercent is the retry budget as a percentage of first attempts.
	RetryPercent int
	// ColdStartSeconds is the duration of the slow start of a new upstream.
	ColdStartSeconds int
	// Closed names the services that accept no new flows while this preset is active.
	Closed []string
}

// OrdinaryPreset returns the default preset, with the limits of the shipped
// example files.
func OrdinaryPreset() Preset {
	return Preset{Name: "ordinary", SpillPercent: 25, SlotLimit: 2, QueueLimit: 64, RetryPercent: 10, ColdStartSeconds: 3}
}

// Configuration is the complete configuration set by operators, at one revision.
type Configuration struct {
	Revision uint64
	// InForce is the name of the active preset.
	InForce  string
	Services []Service
	Presets  []Preset
	// Routes map the destination addresses of new flows to services.
	Routes []Route `json:",omitzero" cbor:",omitempty"`
	// Limits are the limits for callers.
	Limits Limits `json:",omitzero" cbor:",omitzero"`
	// Extra holds the encoded JSON members of the operator's document that this version does
	// not know, by the path of the object that contains them. They let operators read back the
	// document that they sent. Only voters store them.
	Extra map[string][]byte `json:",omitzero" cbor:",omitempty"`
}

// WithoutExtra returns the configuration without unknown members, for balancers.
func (c Configuration) WithoutExtra() Configuration {
	c.Extra = nil
	return c
}

// InvalidError is the first invalid key of a configuration, with the allowed values.
type InvalidError struct {
	Key, Value, Allowed string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Key, e.Value, e.Allowed)
}

// WithPreset returns the configuration with another active preset.
func (c Configuration) WithPreset(name string) Configuration {
	c.InForce = name
	return c
}

// WithRevision returns the configuration with another revision.
func (c Configuration) WithRevision(r uint64) Configuration {
	c.Revision = r
	return c
}

// ForGroup returns the configuration with only the services of a group of
// balancers, so that the group spends no resources on other services.
func (c Configuration) ForGroup(group string) Configuration {
	c.Services = lo.Filter(c.Services, func(s Service, _ int) bool { return s.Group == "" || s.Group == group })
	return c
}

// Preset returns the active preset. A configuration that passes Check has an active preset.
func (c Configuration) Preset() Preset {
	p, _ := c.preset(c.InForce)
	return p
}

func (c Configuration) preset(name string) (Preset, bool) {
	return lo.Find(c.Presets, func(p Preset) bool { return p.Name == name })
}

// Service returns the service with that name, and whether there is one.
func (c Configuration) Service(name string) (Service, bool) {
	return lo.Find(c.Services, func(s Service) bool { return s.Name == name })
}

// Check returns an InvalidError for the first invalid key.
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
