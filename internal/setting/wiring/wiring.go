package wiring

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/configuration/puller"
	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/rostermanager"
	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/member/swim"
	"wasabideal/internal/setting/settings"
	"wasabideal/internal/upstream/registry"
)

const (
	// repairShare is the share of ControlBytes for repair, which replicates flows. The rest is for membership
	// probes and the updates that the probes carry.
	repairShare = 0.25
	// sourceHold, sourceGrace and sourceRetry are Hold, Grace and RetryAfter of the puller.
	sourceHold  = 5 * time.Second
	sourceGrace = 2 * time.Second
	sourceRetry = 500 * time.Millisecond
	fetchEvery  = 200 * time.Millisecond
	busyKeep    = 10 * time.Second
	// keyWindow is how long a request key is stored; it must be equal in all processes.
	keyWindow            = 10 * time.Minute
	rosterChangeInterval = time.Second
	rosterReportTimeout  = 5 * time.Second
	nanosecondsPerSecond = float64(time.Second)
)

// Wiring converts settings into those of the components of a process. Clock is shared by the
// components.
type Wiring struct{ Clock func() time.Time }

// Balancer returns the settings of a balancer.
func (w Wiring) Balancer(s settings.Settings) (balancer.Settings, error) {
	seeds, err := addresses(s.Balancer.Seeds)
	if err != nil {
		return balancer.Settings{}, err
	}
	b := s.Balancer
	repairBytesPerSecond := float64(b.ControlBytes) * repairShare
	return balancer.Settings{
		Fabric: s.Listen.Fabric, Peer: s.Listen.Peer, Rpc: s.Listen.Rpc, Admin: s.Listen.Admin,
		GroupToken: s.GroupToken, OperatorToken: s.OperatorToken, Tick: b.Tick.Value(),
		StopTimeout: b.StopTimeout.Value(), Clock: w.Clock, MaxKeys: b.MaxKeys, KeyWindow: keyWindow,
		Doors: lo.SliceToMap(s.Listen.Door, func(d settings.HTTPListener) (string, string) { return d.Service, d.Address }),
		Puller: puller.Settings{
			Sources: b.Sources, Token: s.GroupToken, Hold: sourceHold, Grace: sourceGrace, RetryAfter: sourceRetry,
		},
		Reducer: reducer.Settings{
			BusyKeep: busyKeep, FetchEvery: fetchEvery, Group: b.Group,
			Router: router.Settings{
				Self: s.Name, Zone: s.Zone, MaxFlows: b.MaxFlows, Settle: b.Settle.Value(),
				OpeningTimeout: b.OpeningTimeout.Value(), IdleTimeout: b.IdleTimeout.Value(),
				ClosingTimeout: b.ClosingTimeout.Value(), Lost: router.LostPolicy(b.Lost),
				RepairBytes: int(repairBytesPerSecond * float64(b.Tick.Value()) / nanosecondsPerSecond),
			},
			Swim: swim.Settings{
				Self:  swim.Member{Name: s.Name, Zone: s.Zone, Start: uint64(w.Clock().UnixNano())},
				Seeds: seeds, Token: s.GroupToken, Group: b.Group, Seed: xxhash.Sum64String(s.Name),
				IndirectAfter: b.IndirectAfter.Value(), SuspectAfter: b.SuspectAfter.Value(),
				DeadAfter: b.DeadAfter.Value(), ForgetAfter: b.ForgetAfter.Value(),
				BytesPerSecond: int(float64(b.ControlBytes) * (1 - repairShare)),
			},
			Registry: registry.Settings{
				Zone: s.Zone, Lease: b.Lease.Value(), Tombstone: b.Tombstone.Value(), Quarantine: b.Quarantine.Value(),
			},
		},
	}, nil
}

func addresses(list []string) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, 0, len(list))
	for _, t := range list {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, fmt.Errorf("parse seed: %w", err)
		}
		out = append(out, a)
	}
	return out, nil
}

// Control returns the settings of a voter.
func (w Wiring) Control(s settings.Settings) control.Settings {
	c := s.Control
	return control.Settings{
		Name: s.Name, Rpc: c.Rpc, DataFolder: s.DataFolder,
		Founders: lo.Map(c.Founders, func(f settings.InitialVoter, _ int) agreement.Voter {
			return agreement.Voter{Name: f.Name, Address: f.Address}
		}),
		Heartbeat: c.Heartbeat.Value(), Election: c.Election.Value(), Tick: c.Tick.Value(),
		AcceptTimeout: c.AcceptTimeout.Value(), CompactAfter: c.CompactAfter,
		GroupToken: s.GroupToken, OperatorToken: s.OperatorToken, Clock: w.Clock,
		RosterManager: rostermanager.Settings{ChangeInterval: rosterChangeInterval, Silent: rosterReportTimeout, KeyRetention: keyWindow},
	}
}
