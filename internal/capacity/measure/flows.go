package measure

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/segment"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	service = netip.MustParseAddrPort("10.20.0.1:443")
)

const (
	currentMembers   = 9
	currentUpstreams = 15
	sampleFlows      = 2000
)

func flowMeasurements() []Measurement {
	flows := []float64{10_000, 100_000, 1_000_000}
	return []Measurement{
		{Name: FlowBytes, Per: "flow held", Unit: "bytes", Sizes: flows, Measure: flowBytes},
		{Name: HitNanos, Per: "flow held", Unit: "ns a packet", Sizes: flows, Measure: hitNanos},
		{Name: RelayNanos, Per: "member", Unit: "ns a packet", Sizes: []float64{4, 16, 64, 178}, Measure: relayNanos},
		{Name: OpeningNanos, Per: "upstream in the pool", Unit: "ns an opening", Sizes: []float64{15, 150, 420, 1167}, Measure: openingNanos},
		{Name: RankMillis, Per: "member", Unit: "ms a change of members", Sizes: []float64{4, 16, 64, 178}, Measure: rankMillis},
	}
}

// flowBytes returns the heap bytes of a flow table with the given capacity.
func flowBytes(size float64) (float64, error) {
	before := heap()
	t := table.New(int(size))
	after := heap()
	runtime.KeepAlive(t)
	return after - before, nil
}

func memberAt(i int) ownership.Member {
	return ownership.Member{
		Name: fmt.Sprintf("b%04d", i), Zone: fmt.Sprintf("zone-%d", i%3), Start: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7400),
	}
}

func members(n int) []ownership.Member {
	ms := make([]ownership.Member, 0, n)
	for i := range n {
		ms = append(ms, memberAt(i))
	}
	return ms
}

func pool(n int) []router.PoolMember {
	ps := make([]router.PoolMember, 0, n)
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 6080)
		ps = append(ps, router.PoolMember{Identity: upstream.Identity{Service: "orders", Address: a, Incarnation: 1}, Share: 1, Zone: fmt.Sprintf("zone-%d", i%3)})
	}
	return ps
}

// newRouter returns a router of a group with the given number of balancers and upstreams, and with
// capacity for the given number of flows.
func newRouter(memberCount, poolSize, flows int) *router.Router {
	m := memberAt(0)
	r := router.New(router.Settings{
		Self: m.Name, Zone: m.Zone, Address: m.Address, MaxFlows: max(4*flows, 1000), Settle: time.Second,
		OpeningTimeout: time.Hour, IdleTimeout: 24 * time.Hour, ClosingTimeout: time.Hour,
	}, epoch)
	r.SetConfiguration(configuration.Configuration{
		Revision: 1, InForce: "ordinary", Presets: []configuration.Preset{{Name: "ordinary", SpillPercent: 5, SlotLimit: 2}},
		Services: []configuration.Service{{Name: "orders", Protocol: configuration.TCP, Addresses: []netip.AddrPort{service}}},
	})
	r.SetPool("orders", pool(poolSize))
	if memberCount > 1 {
		r.SetMembers(epoch, members(memberCount))
	}
	return r
}

// packets returns one packet of each of n flows: a SYN, or an ACK if syn is false.
func packets(n int, syn bool) ([][]byte, error) {
	ps := make([][]byte, 0, n)
	for i := range n {
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 1024)
		p, err := segment.Segment{Source: source, Destination: service, SYN: syn, ACK: !syn}.Packet()
		if err != nil {
			return nil, err
		}
		ps = append(ps, p)
	}
	return ps, nil
}

// settled is a time after the period in which openings cost more because of a new ranking.
var settled = epoch.Add(time.Minute)

func routePackets(r *router.Router, ps [][]byte) {
	var out effect.List
	for _, p := range ps {
		out.Reset()
		r.RoutePacket(settled, p, &out)
	}
}

// hitNanos returns the time to route a packet of a known flow, in nanoseconds, with the given number
// of flows in the table. The packets cover all these flows.
func hitNanos(size float64) (float64, error) {
	r := newRouter(1, currentUpstreams, int(size))
	for _, syn := range []bool{true, false, false} {
		ps, err := packets(int(size), syn)
		if err != nil {
			return 0, err
		}
		routePackets(r, ps)
	}
	ps, err := packets(int(size), false)
	if err != nil {
		return 0, err
	}
	return nanos(len(ps), func() { routePackets(r, ps) }), nil
}

// relayNanos returns the time to route a packet of a flow that another member holds, in nanoseconds,
// with the given number of members.
func relayNanos(size float64) (float64, error) {
	r := newRouter(int(size), currentUpstreams, sampleFlows)
	ps, err := packets(sampleFlows, false)
	if err != nil {
		return 0, err
	}
	return nanos(len(ps), func() { routePackets(r, ps) }), nil
}

// openingNanos returns the time to route an opening, in nanoseconds, with the given number of
// upstreams.
func openingNanos(size float64) (float64, error) {
	ps, err := packets(sampleFlows, true)
	if err != nil {
		return 0, err
	}
	times := make([]float64, 0, rounds)
	for range rounds {
		r := newRouter(1, int(size), sampleFlows)
		start := time.Now()
		routePackets(r, ps)
		times = append(times, float64(time.Since(start).Nanoseconds())/sampleFlows)
	}
	return median(times), nil
}

// rankMillis returns the time, in milliseconds, to rank the given number of balancers.
func rankMillis(size float64) (float64, error) {
	ms := members(int(size))
	return nanos(1, func() { ownership.New(ms, ms[0].Name) }) / float64(time.Millisecond), nil
}
