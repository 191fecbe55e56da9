package check

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/setting/settings"
)

// InvalidError reports an invalid value with its file, key and the allowed values.
type InvalidError struct{ File, Key, Value, Allowed string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s is %q; allowed: %s", e.File, e.Key, e.Value, e.Allowed)
}

// Checker validates the settings of one file.
type Checker struct{ file string }

// New returns a checker that reports errors with the file name.
func New(file string) Checker { return Checker{file: file} }

// Check returns an InvalidError for the first invalid key.
func (c Checker) Check(s settings.Settings) error {
	for _, step := range []func(settings.Settings) error{c.general, c.listen, c.balancer, c.control} {
		if err := step(s); err != nil {
			return err
		}
	}
	return nil
}

func (c Checker) invalid(key string, value any, allowed string) error {
	return &InvalidError{File: c.file, Key: key, Value: fmt.Sprint(value), Allowed: allowed}
}

func (c Checker) general(s settings.Settings) error {
	roles := []string{settings.RoleBalancer, settings.RoleControl, settings.RoleBoth}
	switch {
	case !slices.Contains(roles, s.Role):
		return c.invalid("Role", s.Role, "Balancer, Control or Both")
	case s.Name == "":
		return c.invalid("Name", s.Name, "a name that is unique among all processes")
	case s.Zone == "":
		return c.invalid("Zone", s.Zone, "the availability zone of this VM")
	case hclog.LevelFromString(s.LogLevel) == hclog.NoLevel:
		return c.invalid("LogLevel", s.LogLevel, "trace, debug, info, warn, error or off")
	case len(s.GroupToken) < minTokenLength:
		return c.invalid("GroupToken", "(hidden)", "a secret of 16 characters or more, the same for all processes")
	case len(s.OperatorToken) < minTokenLength:
		return c.invalid("OperatorToken", "(hidden)", "a secret of 16 characters or more, for operators only")
	case s.GroupToken == s.OperatorToken:
		return c.invalid("OperatorToken", "(hidden)", "a secret different from GroupToken")
	}
	return nil
}

const minTokenLength = 16

func (c Checker) listen(s settings.Settings) error {
	addresses := []struct{ key, value string }{
		{"Listen.Fabric", s.Listen.Fabric},
		{"Listen.Peer", s.Listen.Peer},
		{"Listen.Rpc", s.Listen.Rpc},
		{"Listen.Admin", s.Listen.Admin},
	}
	for _, d := range s.Listen.Door {
		if d.Service == "" {
			return c.invalid("Listen.Door.Service", d.Service, "the name of a service")
		}
		addresses = append(addresses, struct{ key, value string }{"Listen.Door.Address", d.Address})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return c.invalid(a.key, a.value, "IP:port")
		}
	}
	return nil
}

func (c Checker) balancer(s settings.Settings) error {
	if s.Role == settings.RoleControl {
		return nil
	}
	b := s.Balancer
	for _, a := range append(slices.Clone(b.Seeds), b.Sources...) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return c.invalid("Balancer.Seeds or Sources", a, "IP:port")
		}
	}
	switch {
	case b.MaxFlows < 1000 || b.MaxFlows > 50_000_000:
		return c.invalid("Balancer.MaxFlows", b.MaxFlows, "1000 to 50000000")
	case b.ControlBytes < 2000 || b.ControlBytes > 1_000_000:
		return c.invalid("Balancer.ControlBytes", b.ControlBytes, "2000 to 1000000")
	case b.Lost != "Candidate" && b.Lost != "Drop":
		return c.invalid("Balancer.Lost", b.Lost, "Candidate or Drop")
	case b.SuspectAfter <= b.IndirectAfter:
		return c.invalid("Balancer.SuspectAfter", b.SuspectAfter.Value(), "more than IndirectAfter")
	case b.IndirectAfter < b.Tick:
		return c.invalid("Balancer.IndirectAfter", b.IndirectAfter.Value(), "at least Tick")
	case b.Tick.Value() < 10*time.Millisecond || b.Tick.Value() > time.Second:
		return c.invalid("Balancer.Tick", b.Tick.Value(), "10ms to 1s")
	case b.Lease.Value() < time.Second:
		return c.invalid("Balancer.Lease", b.Lease.Value(), "at least 1s")
	}
	return nil
}

func (c Checker) control(s settings.Settings) error {
	if s.Role == settings.RoleBalancer {
		return nil
	}
	k := s.Control
	listed := slices.ContainsFunc(k.Founders, func(f settings.InitialVoter) bool { return f.Name == s.Name })
	switch {
	case s.DataFolder == "":
		return c.invalid("DataFolder", "", "a folder on a disk; required for a voter")
	case len(k.Founders)%2 == 0 || len(k.Founders) > 5:
		return c.invalid("Control.Founders", len(k.Founders), "1, 3 or 5 voters")
	case !listed && k.Rpc == "":
		return c.invalid("Control.Rpc", "", "an address; required if Founders does not list this process")
	case k.Election < 3*k.Heartbeat:
		return c.invalid("Control.Election", k.Election.Value(), "at least three times Heartbeat")
	case k.CompactAfter < 16:
		return c.invalid("Control.CompactAfter", k.CompactAfter, "at least 16")
	}
	for _, f := range k.Founders {
		if _, err := netip.ParseAddrPort(f.Address); err != nil {
			return c.invalid("Control.Founders.Address", f.Address, "IP:port")
		}
	}
	return nil
}
