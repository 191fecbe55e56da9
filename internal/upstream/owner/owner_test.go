package owner_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/owner"
)

func announcement(incarnation uint64) upstream.Upstream {
	return upstream.Upstream{Identity: upstream.Identity{Incarnation: incarnation}, Zone: "a"}
}

func TestVoterOfTheUpstreamsZoneIsPreferred(t *testing.T) {
	require.Equal(t, "v1", owner.Of(announcement(1), []owner.Voter{{Address: "v2", Zone: "b"}, {Address: "v1", Zone: "a"}}))
	require.Equal(t, "v2", owner.Of(announcement(1), []owner.Voter{{Address: "v2", Zone: "b"}}))
	require.Empty(t, owner.Of(announcement(1), nil))
}

// An upstream is replaced, and its successor at the same address announces itself to another
// voter. The replaced upstream stayed live until its announcements were overdue, and callers
// waited for it.
func TestUpstreamsOfOneAddressHaveOneVoter(t *testing.T) {
	all := []owner.Voter{{Address: "v1", Zone: "a"}, {Address: "v2", Zone: "a"}, {Address: "v3", Zone: "a"}, {Address: "v4", Zone: "b"}}
	assigned := map[string]int{}
	for i := range uint64(300) {
		before, after := announcement(2*i), announcement(2*i+1)
		before.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		after.Address = before.Address
		assigned[owner.Of(before, all)]++
		require.Equal(t, owner.Of(before, all), owner.Of(after, all))
	}
	require.Len(t, assigned, 3)
}

// One of the three voters of a zone fails. If all upstreams of the zone were reassigned, all of
// them would be published to all balancers again.
func TestOnlyTheUpstreamsOfAFailedVoterMove(t *testing.T) {
	all := []owner.Voter{{Address: "v1", Zone: "a"}, {Address: "v2", Zone: "a"}, {Address: "v3", Zone: "a"}}
	assigned := map[string]int{}
	for i := range uint64(300) {
		before := owner.Of(announcement(i), all)
		assigned[before]++
		if after := owner.Of(announcement(i), all[:2]); before != "v3" {
			require.Equal(t, before, after)
		}
	}
	for _, v := range all {
		require.Greater(t, assigned[v.Address], 60)
	}
}
