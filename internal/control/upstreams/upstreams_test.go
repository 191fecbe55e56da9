package upstreams_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/rpctest"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/upstream/owner"
	"wasabideal/internal/wire/rpc"
)

type voter struct {
	known     []string
	feed      *feed.Feed
	upstreams *upstreams.Receiver
}

// voters returns n voters; the last ones do not listen, and unreachable is their number.
func voters(t *testing.T, n, unreachable int) []voter {
	var addresses []string
	var listeners []rpctest.Server
	for range n {
		l := rpctest.Listen(t)
		listeners = append(listeners, l)
		addresses = append(addresses, l.Address())
	}
	var out []voter
	for i, l := range listeners {
		f := feed.New(uint64(i+1), directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), time.Now)
		u := upstreams.New(upstreams.Settings{
			Token: "group", Clock: time.Now, Self: addresses[i], Known: func() []string { return addresses },
			VotingPeers: func() []string { return addresses },
			Shape:       tree.Shape{Roots: 4, Fanout: 8}, AnnounceInterval: 100 * time.Millisecond,
			Responsive: func() []owner.Voter {
				return lo.Map(addresses, func(a string, i int) owner.Voter { return owner.Voter{Address: a, Zone: zoneOf(i)} })
			},
		}, f, hclog.NewNullLogger())
		out = append(out, voter{addresses, f, u})
		if i >= n-unreachable {
			require.NoError(t, l.Listener.Close())
			continue
		}
		s := rpc.NewServer(func(string) {})
		u.Serve(s)
		l.Serve(t, s)
	}
	return out
}

// zoneOf returns the availability zone of the voter with an index: a, b and so on.
func zoneOf(n int) string { return string(rune('a' + n)) }

func drainingUpstream() upstream.Upstream {
	return upstream.Upstream{Identity: upstream.Identity{Service: "orders", Incarnation: 7}, Sequence: 3, State: upstream.Draining}
}

// A voter acknowledges a departure and loses power before any balancer receives it. If no other
// voter had stored the departure, balancers would send new flows to the upstream for seconds.
func TestDepartureIsStoredByMajorityBeforeAcknowledgement(t *testing.T) {
	vs := voters(t, 3, 1)
	require.NoError(t, vs[0].upstreams.Announce(t.Context(), drainingUpstream(), 0))
	notices, _ := vs[1].feed.Notices(time.Now())
	require.Len(t, notices, 1)
	require.Equal(t, upstream.Draining, notices[0].Upstream.State)
}

func TestDepartureWithoutAMajorityIsNotAcknowledged(t *testing.T) {
	vs := voters(t, 3, 2)
	var unshared *upstreams.UnsharedError
	require.ErrorAs(t, vs[0].upstreams.Announce(t.Context(), drainingUpstream(), 0), &unshared)
	notices, _ := vs[0].feed.Notices(time.Now())
	require.Len(t, notices, 1, "reachable balancers still receive the departure")
}

// A voter starts with an empty disk and receives no message from another voter, so that it knows only
// itself. If it counted itself as the majority, it would acknowledge a departure that no other voter
// has stored.
func TestVoterWithoutVoterListRejectsDeparture(t *testing.T) {
	address := rpctest.Listen(t).Address()
	f := feed.New(1, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), time.Now)
	u := upstreams.New(upstreams.Settings{
		Token: "group", Clock: time.Now, Self: address, Known: func() []string { return []string{address} },
		VotingPeers: func() []string { return nil },
	}, f, hclog.NewNullLogger())
	var unlisted *upstreams.UnlistedError
	require.ErrorAs(t, u.Announce(t.Context(), drainingUpstream(), 0), &unlisted)
	notices, _ := f.Notices(time.Now())
	require.Len(t, notices, 1, "reachable balancers still receive the departure")
	ready := drainingUpstream()
	ready.Incarnation, ready.State = 8, upstream.Ready
	require.NoError(t, u.Announce(t.Context(), ready, 0), "a ready upstream needs no majority")
}

// Two learners and one voting member store a departure, and two voting members do not respond. If
// learners counted towards the majority, the departure would be acknowledged, and lost if two of the
// five fail, which must be tolerated.
func TestLearnersDoNotCountTowardsTheMajority(t *testing.T) {
	vs := voters(t, 5, 2)
	known := vs[0].known
	voting := append([]string{known[0]}, known[3:]...)
	u := upstreams.New(upstreams.Settings{
		Token: "group", Clock: time.Now, Self: known[0], Known: func() []string { return known },
		VotingPeers: func() []string { return voting },
	}, vs[0].feed, hclog.NewNullLogger())
	var unshared *upstreams.UnsharedError
	require.ErrorAs(t, u.Announce(t.Context(), drainingUpstream(), 0), &unshared)
	require.Equal(t, upstreams.UnsharedError{Holders: 1, Needed: 2}, *unshared)
}

// Another announcer uses the address of a serving upstream for a service that is not configured.
// The last announcement of an address wins, so the serving upstream was repeatedly marked as replaced.
func TestUpstreamOfUnknownServiceDoesNotTakeOverAddress(t *testing.T) {
	v := voters(t, 1, 0)[0]
	v.feed.Publish(history.History{}.With(configuration.Configuration{
		Revision: 1, Services: []configuration.Service{{Name: "orders"}},
	}))
	serving := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 7, Address: netip.MustParseAddrPort("10.0.0.1:80")}, Sequence: 1,
	}
	require.NoError(t, v.upstreams.Announce(t.Context(), serving, 0))
	other := serving
	other.Service, other.Incarnation = "unconfigured", 8
	var unknown *upstreams.UnknownServiceError
	require.ErrorAs(t, v.upstreams.Announce(t.Context(), other, 0), &unknown)
	notices, _ := v.feed.Notices(time.Now())
	require.Len(t, notices, 1)
	require.False(t, notices[0].Replaced)
}

// withBalancers adds n balancers of zone a to a voter's feed.
func withBalancers(v voter, n int) {
	for i := range n {
		m := member.Member{Zone: "a", Address: fmt.Sprintf("10.1.0.%d:7720", i+1), Announcements: fmt.Sprintf("10.1.0.%d:7721", i+1)}
		v.feed.RecordFollowers(time.Now(), []members.Heartbeat{{Member: m}})
	}
}

func upstreamInZoneA() upstream.Upstream {
	return upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 9, Address: netip.MustParseAddrPort("10.1.64.1:80")},
		Zone:     "a", Sequence: 5,
	}
}

func noticeCount(v voter) int {
	all, _ := v.feed.Notices(time.Now())
	return len(all)
}

// All balancers of a large fleet restart, and their upstreams announce themselves to any voter. Each
// of these voters published the upstream, and later published that the voter had lost contact
// with the upstream. Each balancer received six notices per upstream.
func TestAnnouncementIsForwardedToVoterOfItsZone(t *testing.T) {
	all := voters(t, 2, 0)
	withBalancers(all[1], 9)
	require.NoError(t, all[1].upstreams.Announce(t.Context(), upstreamInZoneA(), 0))
	require.Equal(t, 1, noticeCount(all[0]))
	require.Zero(t, noticeCount(all[1]))
	require.NotEmpty(t, all[1].upstreams.Refer(upstreamInZoneA()))
}

func TestAnnouncementStaysIfVoterOfItsZoneDoesNotRespond(t *testing.T) {
	all := voters(t, 3, 1)
	withBalancers(all[0], 9)
	u := upstreamInZoneA()
	u.Zone = "c"
	for i := range 9 {
		m := member.Member{Zone: "c", Address: fmt.Sprintf("10.3.0.%d:7720", i+1)}
		all[0].feed.RecordFollowers(time.Now(), []members.Heartbeat{{Member: m}})
	}
	require.NoError(t, all[0].upstreams.Announce(t.Context(), u, 0))
	require.Equal(t, 1, noticeCount(all[0]))
}

func TestAnnouncementsOfSmallZonesStayWithReceivingVoter(t *testing.T) {
	all := voters(t, 2, 0)
	withBalancers(all[1], 4)
	require.NoError(t, all[1].upstreams.Announce(t.Context(), upstreamInZoneA(), 0))
	require.Equal(t, 1, noticeCount(all[1]))
	require.Empty(t, all[1].upstreams.Refer(upstreamInZoneA()))
}

// A departure forwarded by a balancer would be acknowledged before a majority has stored it.
func TestDepartureForwardedByBalancerIsRejected(t *testing.T) {
	all := voters(t, 1, 0)
	client := rpc.NewClient(all[0].known[0], "group")
	t.Cleanup(client.Close)
	_, err := rpc.Call[[]handover.Announcement, struct{}](t.Context(), client, upstreams.ForwardMethod, []handover.Announcement{
		{Upstream: drainingUpstream()}, {Upstream: upstreamInZoneA(), Age: time.Second},
	})
	require.NoError(t, err)
	notices, _ := all[0].feed.Notices(time.Now())
	require.Len(t, notices, 1)
	require.Equal(t, uint64(9), notices[0].Upstream.Incarnation)
	require.GreaterOrEqual(t, notices[0].Age, time.Second, "the age counts from when the balancer received the announcement")
}
