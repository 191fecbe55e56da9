package router_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/segment"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settled = epoch.Add(time.Minute)
	service = netip.MustParseAddrPort("10.20.0.1:443")
)

// newRouter returns the router of one of n members with fifteen upstreams.
func newRouter(n, flows int) *router.Router {
	self := netip.MustParseAddrPort("127.1.0.0:7400")
	r := router.New(router.Settings{
		Self: "b000", Zone: "z0", Address: self, MaxFlows: flows, Settle: 30 * time.Second, OpeningTimeout: time.Hour,
		IdleTimeout: 24 * time.Hour, ClosingTimeout: time.Hour,
	}, epoch)
	r.SetConfiguration(configuration.Configuration{
		Revision: 1, InForce: "ordinary", Presets: []configuration.Preset{{Name: "ordinary", SlotLimit: 2}},
		Services: []configuration.Service{{Name: "orders", Protocol: configuration.TCP, Addresses: []netip.AddrPort{service}}},
	})
	var pool []router.PoolMember
	for i := range 15 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(i)}), 6080)
		pool = append(pool, router.PoolMember{Identity: upstream.Identity{Service: "orders", Address: a, Incarnation: 1}, Zone: fmt.Sprint("z", i%3), Share: 1})
	}
	r.SetPool("orders", pool)
	var ms []ownership.Member
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 7400)
		ms = append(ms, ownership.Member{Name: fmt.Sprintf("b%03d", i), Zone: fmt.Sprint("z", i%3), Address: a, Start: 1})
	}
	r.SetMembers(epoch, ms)
	return r
}

func packets(tb testing.TB, n int, syn bool) [][]byte {
	ps := make([][]byte, 0, n)
	for i := range n {
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 4000)
		p, err := segment.Segment{Source: source, Destination: service, SYN: syn, ACK: !syn}.Packet()
		require.NoError(tb, err)
		ps = append(ps, p)
	}
	return ps
}

// TestHitDoesNotAllocate checks that routing a packet of a stored flow and relaying a packet
// do not allocate.
func TestHitDoesNotAllocate(t *testing.T) {
	for name, members := range map[string]int{"hit": 1, "relay": 64} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(members, 10_000)
			var out effect.List
			for _, syn := range []bool{true, false, false, false} {
				for _, p := range packets(t, 100, syn) {
					out.Reset()
					r.RoutePacket(settled, p, &out)
				}
			}
			ps := packets(t, 100, false)
			i := 0
			require.Zero(t, testing.AllocsPerRun(1000, func() {
				out.Reset()
				r.RoutePacket(settled, ps[i%len(ps)], &out)
				i++
			}))
		})
	}
}

func benchmark(b *testing.B, members, flows int, syn bool) {
	r := newRouter(members, 4*flows)
	var out effect.List
	if !syn {
		for _, s := range []bool{true, false, false} {
			for _, p := range packets(b, flows, s) {
				out.Reset()
				r.RoutePacket(settled, p, &out)
			}
		}
	}
	ps := packets(b, flows, syn)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		out.Reset()
		r.RoutePacket(settled, ps[i%len(ps)], &out)
	}
}

func BenchmarkHit(b *testing.B) {
	for _, flows := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) { benchmark(b, 1, flows, false) })
	}
}

func BenchmarkRelay(b *testing.B) {
	for _, members := range []int{4, 16, 64, 178} {
		b.Run(fmt.Sprint(members), func(b *testing.B) { benchmark(b, members, 10_000, false) })
	}
}

func BenchmarkOpening(b *testing.B) { benchmark(b, 9, 100_000, true) }

func BenchmarkRanking(b *testing.B) {
	for _, n := range []int{4, 16, 64, 178} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ms []ownership.Member
			for i := range n {
				ms = append(ms, ownership.Member{Name: fmt.Sprint("b", i), Zone: fmt.Sprint("z", i%3)})
			}
			for range b.N {
				ownership.New(ms, "b0")
			}
		})
	}
}
