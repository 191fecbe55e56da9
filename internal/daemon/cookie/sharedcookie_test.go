package cookie_test

import (
	"encoding/json"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/daemon/cookie"
	"wasabideal/internal/model/upstream"
)

func announceAs(t *testing.T, voter *control.Control, incarnation uint64, at netip.AddrPort) {
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Address: at, Incarnation: incarnation}, Zone: "a", Slots: 2, Sequence: 1,
	}
	require.NoError(t, voter.Upstreams().Announce(t.Context(), u, 0))
}

// openFlowAt opens flows until one is placed at an upstream, and returns its caller and cookie.
func openFlowAt(t *testing.T, b *cookie.Balancer, backend *net.UDPConn) (*net.UDPConn, uint32) {
	for range 50 {
		caller := listenUDP(t)
		send(t, caller, b, router.Packet{Opening: true})
		if data, ok := receive(backend, 200*time.Millisecond); ok {
			var v router.Verdict
			require.NoError(t, json.Unmarshal(data, &v))
			return caller, v.Cookie
		}
	}
	require.Fail(t, "no flow was placed at the upstream")
	return nil, 0
}

// A second upstream with the cookie of a first one starts, and a balancer restarts as planned: it forwarded
// the packets of open flows at the first upstream to the second one, which reset them.
func TestRestartedBalancerForwardsFlowsToTheUpstreamThatHasThem(t *testing.T) {
	const first = uint64(5)<<32 | 77
	high := uint64(4) << 32
	second := high | uint64(router.Cookie(high|1, 0)^1^router.Cookie(first, 0))
	require.Equal(t, router.Cookie(first, 0), router.Cookie(second, 0))
	voter, firstBackend, secondBackend := startVoter(t), listenUDP(t), listenUDP(t)
	publish(t, voter)
	announceAs(t, voter, first, addressOf(firstBackend))
	before := startBalancer(t, voter.Address())
	require.Eventually(t, before.Ready, 20*time.Second, 5*time.Millisecond)
	caller, cookieOfFlow := openFlowAt(t, before, firstBackend)
	announceAs(t, voter, second, addressOf(secondBackend))
	require.Eventually(t, func() bool { return before.Upstreams() == 2 }, 20*time.Second, 5*time.Millisecond)
	// The flow's packets may have another cookie from now on.
	send(t, caller, before, router.Packet{Cookie: cookieOfFlow, Acknowledged: 1})
	data, ok := receive(firstBackend, 20*time.Second)
	require.True(t, ok)
	var v router.Verdict
	require.NoError(t, json.Unmarshal(data, &v))
	time.Sleep(time.Second)
	before.Stop()

	after := startBalancer(t, voter.Address())
	t.Cleanup(after.Kill)
	require.Eventually(t, func() bool { return after.Ready() && after.Upstreams() == 2 }, 20*time.Second, 5*time.Millisecond)
	for n := range 5 {
		p := router.Packet{Cookie: v.Cookie, Acknowledged: uint32(2 + n)}
		// As a caller does, the test retransmits: the upstreams have started only seconds ago.
		require.Eventually(t, func() bool {
			send(t, caller, after, p)
			_, ok := receive(firstBackend, 200*time.Millisecond)
			return ok
		}, 20*time.Second, time.Millisecond, "packet did not reach its upstream")
	}
	_, ok = receive(secondBackend, 100*time.Millisecond)
	require.False(t, ok, "packet reached another upstream")
}

var claimed = claims.Claim{Cookie: 5, Incarnation: 77, Born: 3}

// A claim of one balancer of a tree reaches the others through the voter. Without it, a balancer that starts
// later cannot tell whose the flows are.
func TestClaimsReachAllBalancersOfATree(t *testing.T) {
	voter := startVoter(t)
	publish(t, voter)
	announce(t, voter, addressOf(listenUDP(t)))
	all := []*cookie.Balancer{startInTree(t, voter.Address()), startInTree(t, voter.Address()), startInTree(t, voter.Address())}
	for _, b := range all {
		t.Cleanup(b.Kill)
	}
	require.Eventually(t, func() bool { return len(followersOf(all)) == 2 }, 20*time.Second, 10*time.Millisecond)
	followersOf(all)[0].OnClaims("", []claims.Claim{claimed})
	started := startInTree(t, voter.Address())
	t.Cleanup(started.Kill)
	for _, b := range append(all, started) {
		require.Eventually(t, func() bool { return b.Claims().Len() == 1 }, 20*time.Second, 10*time.Millisecond)
	}
	w := httptest.NewRecorder()
	all[0].ServeMetrics(w, nil)
	require.Contains(t, w.Body.String(), "wasabideal_cookie_claims 1\n")
}

// All voters and balancers lose power. The claims must be known to the balancers that start afterwards.
func TestClaimsSurviveAPowerLoss(t *testing.T) {
	folder := t.TempDir()
	voter := startVoterIn(t, folder)
	publish(t, voter)
	announce(t, voter, addressOf(listenUDP(t)))
	before := startBalancer(t, voter.Address())
	require.Eventually(t, before.Ready, 20*time.Second, 5*time.Millisecond)
	before.OnClaims("", []claims.Claim{claimed})
	require.Eventually(t, func() bool {
		saved, err := os.ReadFile(filepath.Join(folder, "cookie-claims"))
		return err == nil && len(saved) > 1
	}, 20*time.Second, 10*time.Millisecond)
	before.Kill()
	voter.Stop()

	after := startBalancer(t, startVoterIn(t, folder).Address())
	t.Cleanup(after.Kill)
	require.Eventually(t, func() bool { return after.Claims().Len() == 1 }, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, []claims.Claim{claimed}, after.Claims().All())
}

// A voter is replaced by an empty one. The balancers send it the claims that it lacks.
func TestReplacedVoterReceivesClaimsFromBalancers(t *testing.T) {
	former, next := startVoter(t), startVoter(t)
	publish(t, former)
	publish(t, next)
	announce(t, former, addressOf(listenUDP(t)))
	b := startBalancer(t, former.Address())
	t.Cleanup(b.Kill)
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
	b.OnClaims("", []claims.Claim{claimed})
	b.SetSeeds([]string{next.Address()})
	former.Stop()
	started := startBalancer(t, next.Address())
	t.Cleanup(started.Kill)
	require.Eventually(t, func() bool { return started.Claims().Len() == 1 }, 20*time.Second, 10*time.Millisecond)
}
