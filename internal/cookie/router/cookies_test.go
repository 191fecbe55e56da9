package router_test

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/allocation"
	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/upstream/view"
)

// withCookie returns the n-th incarnation whose first cookie is the given one. Cookie is linear in the low
// half of the incarnation.
func withCookie(cookie uint32, n uint64) uint64 {
	high := n << 32
	return high | uint64(cookie^router.Cookie(high|1, 0)^1)
}

const shared = 0x376da2a6

// first and second have the same cookie, and second sorts before first.
var (
	first  = withCookie(shared, 2)
	second = withCookie(shared, 1)
)

func packetOf(n int, cookie uint32) router.Packet {
	return router.Packet{Caller: caller(n), Address: orders, Cookie: cookie, Length: 9}
}

// cookieOfFlowAt opens flows until one is placed at an upstream, and returns its cookie and caller.
func cookieOfFlowAt(t *testing.T, r *router.Router, now time.Time, incarnation uint64) (cookie uint32, number int) {
	for n := range 100 {
		if v := r.Route(now, opening(n)); v.Action == router.Forward && v.Incarnation == incarnation {
			return v.Cookie, n
		}
	}
	require.Fail(t, "no flow was placed at the upstream")
	return 0, 0
}

// Two upstreams of different services have the same cookie. The packets of an open flow at the earlier one
// must not go to the later one, which must get flows nevertheless.
func TestLaterUpstreamWithTheSameCookieGetsAnother(t *testing.T) {
	require.Equal(t, uint32(shared), router.Cookie(first, 0))
	require.Equal(t, uint32(shared), router.Cookie(second, 0))
	for _, later := range []uint64{second, withCookie(shared, 3)} {
		r := newRouter(t, target(first, "orders", "a"))
		require.Equal(t, uint32(shared), r.Route(epoch, opening(1)).Cookie)
		r.SetTargets(epoch, []view.Target{target(first, "orders", "a"), target(later, "notes", "a")})
		for _, n := range []int{1, 2} {
			require.Equal(t, first, r.Route(epoch, packetOf(n, shared)).Incarnation)
		}
		v := r.Route(epoch, router.Packet{Caller: caller(3), Address: notes, Opening: true})
		require.Equal(t, router.Placed, v.Reason)
		require.Equal(t, later, v.Incarnation)
		require.NotEqual(t, uint32(shared), v.Cookie)
		other := newRouter(t, target(first, "orders", "a"), target(later, "notes", "a"))
		require.Equal(t, later, other.Route(epoch, packetOf(3, v.Cookie)).Incarnation, "any balancer knows the other cookie")
	}
}

// A balancer that restarts receives both upstreams in one response, the later one first, and forwarded the
// packets of flows at the earlier one to the later one.
func TestRestartedBalancerForwardsSharedCookieByClaim(t *testing.T) {
	all := []view.Target{target(second, "orders", "a"), target(first, "orders", "a")}
	before := newRouter(t, all[1])
	before.SetTargets(epoch, all)
	cookie, number := cookieOfFlowAt(t, before, epoch, first)
	require.Equal(t, uint32(shared), cookie)

	without := newRouter(t, all...)
	v := without.Route(epoch, packetOf(number, cookie))
	require.Equal(t, router.Drop, v.Action)
	require.Equal(t, router.AmbiguousCookie, v.Reason)
	without.MergeClaims(before.Claims())
	require.Equal(t, first, without.Route(epoch, packetOf(number, cookie)).Incarnation, "claims that arrive later")

	with := router.New(router.Settings{Zone: "a"})
	require.NoError(t, with.Configure(configured(1)))
	with.MergeClaims(before.Claims())
	with.SetTargets(epoch, all[:1])
	require.Equal(t, router.Drop, with.Route(epoch, packetOf(number, cookie)).Action, "the holder is not known yet")
	require.NotEqual(t, uint32(shared), with.Route(epoch, opening(50)).Cookie)
	with.SetTargets(epoch, all)
	require.Equal(t, first, with.Route(epoch, packetOf(number, cookie)).Incarnation)
}

// A balancer that had just started, and did not know all upstreams yet, gave a new upstream the cookie of an older one.
func TestStartingBalancerBuffersOpeningsForANewUpstream(t *testing.T) {
	r := router.New(router.Settings{Zone: "a"})
	require.NoError(t, r.Configure(configured(1)))
	r.SetRecent(func(incarnation uint64) bool { return incarnation == second })
	r.SetTargets(epoch, []view.Target{target(second, "orders", "a")})
	v := r.Route(epoch, opening(1))
	require.Equal(t, router.Drop, v.Action)
	require.Equal(t, router.NewUpstream, v.Reason)
	require.True(t, v.Reason.Temporary(), "the balancer buffers the opening")
	require.Equal(t, router.Forward, r.Route(epoch.Add(allocation.SettlingPerLevel), opening(1)).Action)
	r.SetTargets(epoch, []view.Target{target(first, "orders", "a"), target(second, "orders", "a")})
	require.Equal(t, first, r.Route(epoch, opening(2)).Incarnation, "others get flows at once")
}

// The cookie of an upstream that has ended or was forgotten went to another upstream while its flows could
// still be open.
func TestCookieIsKeptWhileFlowsOfItsHolderMayBeOpen(t *testing.T) {
	ended := target(first, "orders", "a")
	ended.Ended, ended.Live = true, false
	for name, last := range map[string][]view.Target{"ended": {ended}, "forgotten": nil} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, target(first, "orders", "a"))
			r.SetTargets(epoch, last)
			r.SetTargets(epoch.Add(time.Second), append([]view.Target{target(second, "orders", "a")}, last...))
			for _, after := range []time.Duration{time.Second, 60 * time.Second, 10 * time.Minute} {
				now := epoch.Add(after)
				r.Tick(now)
				require.NotEqual(t, router.Forward, r.Route(now, packetOf(1, shared)).Action)
				require.NotEqual(t, uint32(shared), r.Route(now, opening(int(after.Seconds()))).Cookie)
			}
		})
	}
}

// An upstream restarts with the same incarnation while another one has its former cookie.
func TestFormerInstanceKeepsItsSharedCookie(t *testing.T) {
	r := newRouter(t, target(first, "orders", "a"))
	r.SetTargets(epoch, []view.Target{target(first, "orders", "a"), target(second, "orders", "a")})
	restarted := target(first, "orders", "a")
	restarted.Born = 5
	r.SetTargets(epoch.Add(time.Second), []view.Target{restarted, target(second, "orders", "a")})
	require.Equal(t, first, r.Route(epoch.Add(time.Second), packetOf(1, shared)).Incarnation)
}

func TestThreeUpstreamsWithOneCookie(t *testing.T) {
	third := withCookie(shared, 3)
	r := newRouter(t, target(first, "orders", "a"))
	all := []view.Target{target(second, "orders", "a"), target(first, "orders", "a"), target(third, "orders", "a")}
	r.SetTargets(epoch, all)
	used := map[uint32]uint64{}
	for n := range 30 {
		v := r.Route(epoch, opening(n))
		require.Equal(t, router.Placed, v.Reason)
		if holder, ok := used[v.Cookie]; ok {
			require.Equal(t, holder, v.Incarnation)
		}
		used[v.Cookie] = v.Incarnation
	}
	require.Len(t, used, 3)
	require.Equal(t, first, used[shared])
	require.Zero(t, r.WithoutCookie())
}

// The cookie 0 stands for no cookie: an upstream whose hash is 0 has the cookie 1.
func TestCookiesZeroAndOne(t *testing.T) {
	zero, one := uint64(3)<<32|uint64(uint32(3*0x9e3779b1&0xffffffff)), withCookie(1, 1)
	require.Equal(t, uint32(1), router.Cookie(zero, 0))
	require.Equal(t, uint32(1), router.Cookie(one, 0))
	r := newRouter(t, target(zero, "orders", "a"))
	r.SetTargets(epoch, []view.Target{target(zero, "orders", "a"), target(one, "orders", "a")})
	require.Equal(t, zero, r.Route(epoch, packetOf(1, 1)).Incarnation)
}

// Two upstreams with one cookie start in zones that are cut off from each other, and flows are opened at
// both. Once the cut has healed, no packet may go to the other upstream.
func TestFlowsOpenedOnBothSidesOfACutAreNotMixed(t *testing.T) {
	left, right := newRouter(t, target(first, "orders", "a")), newRouter(t, target(second, "orders", "a"))
	for n := range 2 {
		require.Equal(t, uint32(shared), left.Route(epoch, opening(n)).Cookie)
		require.Equal(t, uint32(shared), right.Route(epoch, opening(10+n)).Cookie)
	}
	all := []view.Target{target(second, "orders", "a"), target(first, "orders", "a")}
	left.SetTargets(epoch.Add(time.Second), all)
	right.SetTargets(epoch.Add(time.Second), all)
	left.MergeClaims(right.Claims())
	right.MergeClaims(left.Claims())
	require.Equal(t, left.Claims().Digest(), right.Claims().Digest())
	started := newRouter(t, all...)
	started.MergeClaims(left.Claims())
	now := epoch.Add(2 * time.Second)
	require.Equal(t, first, left.Route(now, packetOf(1, shared)).Incarnation)
	require.Equal(t, second, right.Route(now, packetOf(11, shared)).Incarnation)
	for _, r := range []*router.Router{left, right, started} {
		require.Equal(t, router.AmbiguousCookie, r.Route(now, packetOf(77, shared)).Reason)
		require.NotEqual(t, uint32(shared), r.Route(now, opening(99)).Cookie)
	}
}

// An upstream that has just started may share its cookie with one that this balancer does not know yet.
func TestNewUpstreamGetsOnlyPacketsOfStoredFlows(t *testing.T) {
	r := newRouter(t, target(1, "notes", "a"))
	r.SetTargets(epoch, []view.Target{target(1, "notes", "a"), target(first, "orders", "a")})
	require.Equal(t, uint32(shared), r.Route(epoch, opening(1)).Cookie)
	require.Equal(t, router.NewUpstream, r.Route(epoch, packetOf(2, shared)).Reason)
	p := packetOf(1, shared)
	p.Finish = true
	require.Equal(t, router.Forward, r.Route(epoch, p).Action)
	require.Equal(t, router.Forward, r.Route(epoch, router.Packet{Caller: caller(1), Address: orders, Cookie: shared}).Action, "last acknowledgment")
	require.Equal(t, router.Forward, r.Route(epoch.Add(5*time.Second), packetOf(2, shared)).Action)
}

// Pools, logs and metrics show shared cookies and upstreams that get no flows.
func TestSharedCookiesAreReported(t *testing.T) {
	var reported []router.SharedCookie
	r := router.New(router.Settings{Zone: "a", CookieShared: func(x router.SharedCookie) { reported = append(reported, x) }})
	require.NoError(t, r.Configure(configured(1)))
	r.SetTargets(epoch.Add(-time.Minute), []view.Target{target(first, "orders", "a")})
	require.Empty(t, reported)
	r.SetTargets(epoch, []view.Target{target(first, "orders", "a"), target(second, "orders", "a")})
	last := reported[len(reported)-1]
	require.Equal(t, uint32(shared), last.Cookie)
	require.Equal(t, first, last.Holder.Incarnation)
	require.Len(t, last.Candidates, 2)
	require.Equal(t, []uint64{first}, lo.Map(last.Claims, func(c claims.Claim, _ int) uint64 { return c.Incarnation }))
	require.Equal(t, 1, r.SharedCookies())
	require.ElementsMatch(t, []uint64{first, second}, r.Pool("orders"))
}
