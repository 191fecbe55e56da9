package referral_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/referral"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/upstream"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	shape = tree.Shape{Roots: 4, Fanout: 4}
)

func zone(n int) []member.Member {
	var out []member.Member
	for i := range n {
		out = append(out, member.Member{
			Zone: "a", Address: fmt.Sprintf("10.1.0.%d:7720", i+1), Announcements: fmt.Sprintf("10.1.0.%d:7721", i+1),
		})
	}
	return out
}

func announced(incarnation, sequence uint64) upstream.Upstream {
	return upstream.Upstream{Identity: upstream.Identity{Incarnation: incarnation}, Zone: "a", Sequence: sequence}
}

func TestUpstreamsOfSmallZonesStayWithVoters(t *testing.T) {
	require.Empty(t, referral.New(shape).Choose(epoch, announced(1, 1), zone(4)))
}

func TestUpstreamsAreSpreadOverNonRootBalancers(t *testing.T) {
	r, all := referral.New(shape), zone(20)
	addresses := make([]string, len(all))
	for i, m := range all {
		addresses[i] = m.Address
	}
	roots := shape.RootsOf(addresses)
	counts := map[string]int{}
	for i := range uint64(160) {
		counts[r.Choose(epoch, announced(i, 1), all)]++
	}
	for i, m := range all {
		if roots[addresses[i]] {
			require.Zero(t, counts[m.Announcements])
		} else {
			require.InDelta(t, 10, counts[m.Announcements], 5)
		}
	}
}

// An upstream's balancer has lost power, and a voter has not detected this. The voter referred the
// upstream to that balancer repeatedly, and the upstream lost half of its announcements.
func TestReturningUpstreamIsReferredToAnotherBalancer(t *testing.T) {
	r := referral.New(shape)
	referred := map[string]bool{}
	for sequence := range uint64(10) {
		referred[r.Choose(epoch, announced(1, sequence), zone(20))] = true
	}
	require.Greater(t, len(referred), 3)
}

// After a restart, all voters knew only nine balancers of a zone, and only one of the nine was not a
// root. They referred all upstreams to that balancer, and the announcements of 190 upstreams saturated
// its link. This test has five balancers, of which four are roots.
func TestReferralsPerBalancerAreLimited(t *testing.T) {
	r, referred := referral.New(shape), 0
	for i := range uint64(200) {
		if r.Choose(epoch, announced(i, 1), zone(5)) != "" {
			referred++
		}
	}
	require.Equal(t, 30, referred)
	require.NotEmpty(t, r.Choose(epoch.Add(time.Minute), announced(1, 2), zone(5)))
}
