package defaults

import (
	"time"

	"wasabideal/internal/setting/settings"
)

// Defaults sets default values; they are defined only here.
type Defaults struct{}

// String returns the name "defaults".
func (Defaults) String() string { return "defaults" }

// Apply returns the settings with defaults in place of zero values.
func (Defaults) Apply(s settings.Settings) settings.Settings {
	setString(&s.Role, settings.RoleBalancer)
	setString(&s.LogLevel, "info")
	setString(&s.Listen.Fabric, "127.0.0.1:6080")
	setString(&s.Listen.Peer, "127.0.0.1:7400")
	setString(&s.Listen.Rpc, "127.0.0.1:7401")
	setString(&s.Listen.Admin, "127.0.0.1:7402")
	s.Balancer = balancer(s.Balancer)
	s.Control = control(s.Control, s.Name)
	return s
}

func balancer(b settings.Balancer) settings.Balancer {
	setInt(&b.MaxFlows, 400_000)
	setInt(&b.MaxKeys, 200_000)
	setInt(&b.ControlBytes, 4000)
	setDuration(&b.Tick, 100*time.Millisecond)
	setDuration(&b.Lease, 8*time.Second)
	setDuration(&b.Quarantine, 3*time.Second)
	setDuration(&b.Tombstone, 10*time.Minute)
	setDuration(&b.Settle, 30*time.Second)
	setDuration(&b.OpeningTimeout, 10*time.Second)
	setDuration(&b.IdleTimeout, 24*time.Hour)
	setDuration(&b.ClosingTimeout, 5*time.Minute)
	setDuration(&b.IndirectAfter, 200*time.Millisecond)
	setDuration(&b.SuspectAfter, 500*time.Millisecond)
	setDuration(&b.DeadAfter, time.Second)
	setDuration(&b.ForgetAfter, 30*time.Minute)
	setDuration(&b.StopTimeout, 2*time.Minute)
	setString(&b.Lost, "Candidate")
	return b
}

func control(c settings.Control, name string) settings.Control {
	setDuration(&c.Heartbeat, 200*time.Millisecond)
	setDuration(&c.Election, time.Second)
	setDuration(&c.Tick, 50*time.Millisecond)
	setDuration(&c.AcceptTimeout, 5*time.Second)
	setInt(&c.CompactAfter, 1024)
	for _, f := range c.Founders {
		if f.Name == name {
			setString(&c.Rpc, f.Address)
		}
	}
	return c
}

func setString(v *string, d string) {
	if *v == "" {
		*v = d
	}
}

func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func setDuration(v *settings.Duration, d time.Duration) {
	if *v == 0 {
		*v = settings.Duration(d)
	}
}
