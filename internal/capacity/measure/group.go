package measure

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/member/swim"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/registry"
)

const (
	tick = 100 * time.Millisecond
	// Two times settleTicks ticks pass before the measurement, six times settleTicks if there are
	// upstreams. countedTicks is the number of measured ticks.
	settleTicks   = 100
	countedTicks  = 100
	groupToken    = "group"
	lease         = 30 * time.Second
	renewInterval = lease / 3
)

func groupMeasurements() []Measurement {
	return []Measurement{
		{Name: GossipMembers, Per: "member", Unit: "bytes a second sent", Sizes: []float64{4, 16, 64, 178}, Measure: gossipBytesByMembers},
		{Name: GossipMicros, Per: "member", Unit: "us of processor a second", Sizes: []float64{4, 16, 64, 178}, Measure: gossipMicros},
		{Name: GossipUpstreams, Per: "upstream", Unit: "bytes a second sent", Sizes: []float64{19, 100, 420}, Measure: gossipBytesByUpstreams},
		{Name: UpstreamBytes, Per: "upstream", Unit: "bytes held", Sizes: []float64{100, 420, 1167, 21_000}, Measure: upstreamBytes},
	}
}

// group is a set of balancers whose datagrams are delivered without delay.
type group struct {
	now        time.Time
	nodes      map[netip.AddrPort]*reducer.Reducer
	order      []netip.AddrPort
	sent       int
	reduceTime time.Duration
}

// newGroup returns a group of n balancers, each with a budget for gossip in bytes per second.
func newGroup(n int, budget int) *group {
	g := &group{now: epoch, nodes: map[netip.AddrPort]*reducer.Reducer{}}
	for i, m := range members(n) {
		g.nodes[m.Address] = reducer.New(reducer.Settings{
			Router: router.Settings{
				Self: m.Name, Zone: m.Zone, Address: m.Address, MaxFlows: 1000, Settle: 30 * time.Second,
				OpeningTimeout: 10 * time.Second, IdleTimeout: 24 * time.Hour, ClosingTimeout: 5 * time.Minute, RepairBytes: 100,
			},
			Swim: swim.Settings{
				Self:  swim.Member{Name: m.Name, Zone: m.Zone, Address: m.Address, Start: 1},
				Seeds: []netip.AddrPort{memberAt(0).Address, memberAt(1).Address}, Token: groupToken, Seed: uint64(i),
				IndirectAfter: 200 * time.Millisecond, SuspectAfter: 500 * time.Millisecond, DeadAfter: time.Second,
				ForgetAfter: 30 * time.Minute, BytesPerSecond: budget,
			},
			Registry: registry.Settings{Zone: m.Zone, Lease: lease, Tombstone: 10 * time.Minute, Quarantine: 3 * time.Second},
			BusyKeep: 10 * time.Second, FetchEvery: time.Second, Source: m.Address,
		}, g.now)
		g.order = append(g.order, m.Address)
	}
	return g
}

type datagram struct {
	from, to netip.AddrPort
	data     []byte
}

// dispatch passes an event to a node. It then delivers the resulting datagrams, and the datagrams
// that they cause, until no datagram is left.
func (g *group) dispatch(at netip.AddrPort, e event.Event) {
	datagrams := g.reduce(at, e)
	for len(datagrams) > 0 {
		d := datagrams[0]
		datagrams = append(datagrams[1:], g.reduce(d.to, event.Event{Kind: event.PeerDatagram, From: d.from, Data: d.data})...)
	}
}

func (g *group) reduce(at netip.AddrPort, e event.Event) []datagram {
	var out effect.List
	start := time.Now()
	_ = g.nodes[at].Reduce(g.now, e, &out)
	g.reduceTime += time.Since(start)
	var datagrams []datagram
	for _, x := range out.Effects {
		if x.Kind == effect.ToPeer && g.nodes[x.To] != nil {
			g.sent += len(x.Data) + 28
			datagrams = append(datagrams, datagram{from: at, to: x.To, data: append([]byte(nil), x.Data...)})
		}
	}
	return datagrams
}

func (g *group) run(ticks int, afterTick func(tick int)) {
	for t := range ticks {
		g.now = g.now.Add(tick)
		for _, a := range g.order {
			g.dispatch(a, event.Event{Kind: event.Ticked})
		}
		afterTick(t)
	}
}

func oneServiceConfiguration() configuration.Configuration {
	return configuration.Configuration{
		Revision: 1, InForce: "ordinary", Presets: []configuration.Preset{{Name: "ordinary", SlotLimit: 2}},
		Services: []configuration.Service{{Name: "orders", Protocol: configuration.TCP, Addresses: []netip.AddrPort{service}, TokenSha256: tokenDigest}},
	}
}

// runGossip returns a group of n members after countedTicks of gossip. The counts of the group
// cover only these ticks.
func runGossip(n, upstreams int) (*group, error) {
	g := newGroup(n, 10_000)
	c := oneServiceConfiguration()
	for _, a := range g.order {
		g.dispatch(a, event.Event{Kind: event.ConfigurationReceived, Configuration: &c})
	}
	ps := pool(upstreams)
	renewTicks := int(renewInterval / tick)
	renew := func(t int) {
		for i, p := range ps {
			if i%renewTicks != t%renewTicks {
				continue
			}
			u := upstream.Upstream{Identity: p.Identity, Zone: "zone-1", Slots: 2, Sequence: uint64(g.now.Sub(epoch))}
			g.dispatch(g.order[i%len(g.order)], event.Event{Kind: event.UpstreamAnnounced, Upstream: &u, TokenSha256: tokenDigest})
		}
	}
	g.run(2*settleTicks, renew)
	if upstreams > 0 {
		// Every upstream must reach all members before the traffic consists of renewals only.
		g.run(4*settleTicks, renew)
	}
	if got := len(g.nodes[g.order[0]].Members()); got != n {
		return nil, &IncompleteError{What: fmt.Sprintf("%d of %d members known", got, n)}
	}
	g.sent, g.reduceTime = 0, 0
	g.run(countedTicks, renew)
	return g, nil
}

// IncompleteError reports a measurement that did not reach the state to be measured.
type IncompleteError struct{ What string }

func (e *IncompleteError) Error() string { return "measurement incomplete: " + e.What }

func (g *group) seconds() float64 { return float64(countedTicks) * tick.Seconds() }

// gossipBytesByMembers returns the gossip that each member sends, in bytes per second, with the given
// number of members and no upstreams.
func gossipBytesByMembers(size float64) (float64, error) {
	g, err := runGossip(int(size), 0)
	if err != nil {
		return 0, err
	}
	return float64(g.sent) / g.seconds() / size, nil
}

// gossipMicros returns the processing time that each member spends on gossip, in microseconds per
// second, with the given number of members.
func gossipMicros(size float64) (float64, error) {
	g, err := runGossip(int(size), 0)
	if err != nil {
		return 0, err
	}
	return float64(g.reduceTime.Microseconds()) / g.seconds() / size, nil
}

// gossipBytesByUpstreams returns the gossip that each of currentMembers sends, in bytes per second,
// with the given number of upstreams.
func gossipBytesByUpstreams(size float64) (float64, error) {
	g, err := runGossip(currentMembers, int(size))
	if err != nil {
		return 0, err
	}
	return float64(g.sent) / g.seconds() / currentMembers, nil
}

// upstreamBytes returns the heap bytes of a registry with the given number of upstreams.
func upstreamBytes(size float64) (float64, error) {
	before := heap()
	r := registry.New(registry.Settings{Zone: "zone-1", Lease: lease, Tombstone: lease})
	r.SetConfiguration(oneServiceConfiguration())
	for _, p := range pool(int(size)) {
		u := upstream.Upstream{Identity: p.Identity, Zone: "zone-1", Slots: 2, Sequence: 1}
		if err := r.Announce(epoch, u, tokenDigest); err != nil {
			return 0, err
		}
	}
	after := heap()
	runtime.KeepAlive(r)
	return after - before, nil
}
