package measure

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/wire/rpc"
)

// cookiePackets is the number of packets in one timing. For openings, the number is a tenth of
// cookiePackets.
const cookiePackets = 20_000

func cookieMeasurements() []Measurement {
	flows := []float64{1000, 10_000, 100_000}
	pool := []float64{14, 150, 1500}
	known := []float64{150, 1500, 21_000}
	return []Measurement{
		{Name: CookieNanos, Per: "flow remembered", Unit: "ns a packet", Sizes: flows, Measure: laterPacketNanos},
		{Name: CookieFlowBytes, Per: "flow remembered", Unit: "bytes held", Sizes: flows, Measure: cookieFlowBytes},
		{Name: CookieOpeningNanos, Per: "upstream of a service", Unit: "ns an opening", Sizes: pool, Measure: cookieOpeningNanos},
		{Name: ViewMicros, Per: "upstream of the service", Unit: "us to take over one upstream's news", Sizes: known, Measure: viewMicros},
		{Name: ViewBytes, Per: "upstream known", Unit: "bytes held", Sizes: known, Measure: viewBytes},
		{Name: NewsBytes, Per: "upstream known", Unit: "bytes of a voter's first answer", Sizes: known, Measure: firstResponseBytes},
		{Name: FirstStateMicros, Per: "upstream known", Unit: "us a first state of one of five zones, both ends", Sizes: []float64{1500, 10_000, 21_000}, Measure: firstStateMicros},
		{Name: QuestionMicros, Per: "upstream known", Unit: "us a question without news, both ends", Sizes: known, Measure: pollMicros},
	}
}

var (
	cookieEpoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cookieAddress = netip.MustParseAddrPort("198.18.0.1:443")
)

// upstreamAt returns the n-th upstream of the measured service.
func upstreamAt(n int) upstream.Upstream {
	return upstream.Upstream{
		Identity: upstream.Identity{
			Service: "orders", Incarnation: uint64(n + 1),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 8080),
		},
		Zone: "Port Tawfik", Slots: 2, Sequence: 1,
	}
}

// cookieRouter returns a router with one route and the given number of live upstreams.
func cookieRouter(upstreams int) (*router.Router, error) {
	r := router.New(router.Settings{Zone: "Port Tawfik"})
	err := r.Configure(configuration.Configuration{Revision: 1, Routes: []configuration.Route{
		{Name: "orders", Address: cookieAddress, Service: "orders"},
	}})
	targets := make([]view.Target, upstreams)
	for n := range targets {
		targets[n] = view.Target{Upstream: upstreamAt(n), Live: true}
	}
	r.SetTargets(cookieEpoch, targets)
	return r, err
}

// opening returns an opening of the n-th caller.
func opening(n int) router.Packet {
	a := netip.AddrFrom4([4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)})
	return router.Packet{Caller: netip.AddrPortFrom(a, 40_000), Address: cookieAddress, Opening: true}
}

// openFlows opens flows and returns one later packet for each.
func openFlows(r *router.Router, flows int) []router.Packet {
	packets := make([]router.Packet, flows)
	for n := range packets {
		p := opening(n)
		p.Cookie = r.Route(cookieEpoch, p).Cookie
		p.Opening = false
		packets[n] = p
	}
	return packets
}

// laterPacketNanos returns the time to route a later packet of an open flow, in nanoseconds, with
// the given number of open flows.
func laterPacketNanos(size float64) (float64, error) {
	r, err := cookieRouter(14)
	packets := openFlows(r, int(size))
	return nanos(cookiePackets, func() {
		for n := range cookiePackets {
			p := packets[n*7919%len(packets)] // 7919 is prime: consecutive packets belong to distant flows
			p.Acknowledged = uint32(n)
			r.Route(cookieEpoch, p)
		}
	}), err
}

// cookieFlowBytes returns the heap bytes that the given number of open flows occupies.
func cookieFlowBytes(size float64) (float64, error) {
	r, err := cookieRouter(14)
	before := heap()
	for n := range int(size) {
		r.Route(cookieEpoch, opening(n))
	}
	held := heap() - before
	r.Tick(cookieEpoch) // keeps the router reachable until here
	return held, err
}

// cookieOpeningNanos returns the time to route an opening, in nanoseconds, with the given number of
// upstreams.
func cookieOpeningNanos(size float64) (float64, error) {
	r, err := cookieRouter(int(size))
	n := 0
	return nanos(cookiePackets/10, func() {
		for range cookiePackets / 10 {
			n++
			r.Route(cookieEpoch, opening(n))
		}
	}), err
}

// newDirectory returns a voter's directory that knows the given number of upstreams.
func newDirectory(upstreams int) *directory.Directory {
	d := directory.New(directory.Settings{SilentAfter: time.Hour, ForgetAfter: time.Hour})
	for n := range upstreams {
		d.Announce(cookieEpoch, upstreamAt(n), 0)
	}
	return d
}

// viewMicros returns the time, in microseconds, in which a balancer applies a notice of one upstream
// to its view and router, with the given number of upstreams.
func viewMicros(size float64) (float64, error) {
	v := view.New(view.Settings{ContactLease: time.Hour, UnconfirmedTTL: time.Hour, ForgetAfter: time.Hour})
	v.ApplyNotices(cookieEpoch, "voter", 1, newDirectory(int(size)).Since(cookieEpoch, 0))
	r, err := cookieRouter(1)
	c, _ := v.Changes(cookieEpoch)
	r.Update(cookieEpoch, c)
	const calls = 100
	return nanos(calls, func() {
		for n := range calls {
			u := upstreamAt(n)
			u.State = upstream.State(n % 2)
			v.ApplyNotices(cookieEpoch, "voter", 1, []directory.Notice{{Upstream: u}})
			c, _ := v.Changes(cookieEpoch)
			r.Update(cookieEpoch, c)
		}
	}) / 1000, err
}

// viewBytes returns the heap bytes that a view and a router occupy for the given number of upstreams.
func viewBytes(size float64) (float64, error) {
	r, err := cookieRouter(1)
	before := heap()
	v := view.New(view.Settings{ContactLease: time.Hour, UnconfirmedTTL: time.Hour, ForgetAfter: time.Hour})
	v.ApplyNotices(cookieEpoch, "voter", 1, newDirectory(int(size)).Since(cookieEpoch, 0))
	c, _ := v.Changes(cookieEpoch)
	r.Update(cookieEpoch, c)
	held := heap() - before
	// Keeps the view and the router reachable until here.
	v.Changes(cookieEpoch)
	r.Tick(cookieEpoch)
	return held, err
}

// firstResponseBytes returns the encoded size of a voter's response to the first poll of a balancer,
// with the given number of upstreams.
func firstResponseBytes(size float64) (float64, error) {
	f := feed.New(1, newDirectory(int(size)), func() time.Time { return cookieEpoch })
	return encodedBytes(f.Since(context.Background(), feed.Request{}))
}

// measuredZones is the number of zones among which the restored upstreams are divided, and
// firstStateInterval the time between two first states.
const (
	measuredZones      = 5
	firstStateInterval = 5 * time.Millisecond
)

// firstStateMicros returns the time, in microseconds, of the first poll of a starting balancer at a
// voter that has restored the given number of upstreams, one of which announces itself before each poll.
func firstStateMicros(size float64) (float64, error) {
	now := cookieEpoch
	zone := func(n int) string { return fmt.Sprint("zone ", n%measuredZones) }
	restored := func(n int) upstream.Upstream {
		u := upstreamAt(n)
		u.Zone = zone(n)
		return u
	}
	f := feed.New(1, directory.New(directory.Settings{SilentAfter: time.Hour, ForgetAfter: time.Hour}), func() time.Time { return now })
	for n := range int(size) {
		f.Restore(now, restored(n), 0)
	}
	calls := 0
	return callMicros(1, func(s *rpc.Server) { f.Serve(s, token) }, func(ctx context.Context, c *rpc.Client) error {
		calls++
		now = now.Add(firstStateInterval)
		u := restored(calls % int(size))
		u.Sequence += uint64(calls)
		f.Announce(now, u, 0)
		q := feed.Request{From: "balancer", Encoded: true, Recalled: true, AcceptsBusy: true, AcceptsPacked: true, Hold: time.Second, Self: &member.Member{Zone: zone(calls)}}
		_, err := rpc.Call[feed.Request, feed.Response](ctx, c, feed.SinceMethod, q)
		return err
	})
}

// pollMicros returns the time, in microseconds, of a poll of a voter without updates, with the given
// number of upstreams.
func pollMicros(size float64) (float64, error) {
	d := newDirectory(int(size))
	f := feed.New(1, d, func() time.Time { return cookieEpoch })
	q := feed.Request{Life: 1, Version: d.Version()}
	return callMicros(1, func(s *rpc.Server) { f.Serve(s, token) }, func(ctx context.Context, c *rpc.Client) error {
		_, err := rpc.Call[feed.Request, feed.Response](ctx, c, feed.SinceMethod, q)
		return err
	})
}

// callMicros returns the time of an RPC over loopback in microseconds, both ends included. The time
// is divided by the number of parts, such as announcements, that the call carries.
func callMicros(parts int, serve func(*rpc.Server), call func(context.Context, *rpc.Client) error) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	s := rpc.NewServer(func(string) {})
	serve(s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	defer func() {
		cancel()
		_ = l.Close()
		<-done
	}()
	c := rpc.NewClient(l.Addr().String(), token)
	defer c.Close()
	const calls = 200
	var callErr error
	y := nanos(calls*parts, func() {
		for range calls {
			if err := call(ctx, c); err != nil {
				callErr = err
			}
		}
	}) / 1000
	return y, callErr
}
