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
	"wasabideal/internal/standin/server"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/upstream/home"
	"wasabideal/internal/wire/rpc"
)

type voter struct {
	known     []string
	feed      *feed.Feed
	upstreams *upstreams.Upstreams
}

// voters starts the announcements of some voters; those after the first down
// ones do not listen.
func voters(t *testing.T, n, down int) []voter {
	var addresses []string
	var listeners []server.Server
	for range n {
		l := server.Listen(t)
		listeners = append(listeners, l)
		addresses = append(addresses, l.Address())
	}
	var out []voter
	for i, l := range listeners {
		f := feed.New(uint64(i+1), directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), time.Now)
		u := upstreams.New(upstreams.Settings{
			Token: "group", Clock: time.Now, Self: addresses[i], Known: func() []string { return addresses },
			Voting: func() []string { return addresses },
			Shape:  tree.Shape{Roots: 4, Fanout: 8}, AnnounceEvery: 100 * time.Millisecond,
			Answering: func() []home.Voter {
				return lo.Map(addresses, func(a string, i int) home.Voter { return home.Voter{Address: a, Zone: zoneOf(i)} })
			},
		}, f, hclog.NewNullLogger())
		out = append(out, voter{addresses, f, u})
		if i >= n-down {
			require.NoError(t, l.Listener.Close())
			continue
		}
		s := rpc.NewServer(func(string) {})
		u.Serve(s)
		l.Serve(t, s)
	}
	return out
}

// zoneOf is the availability zone of the voter with a number: a, b and so on.
func zoneOf(n int) string { return string(rune('a' + n)) }

func leaving() upstream.Upstream {
	return upstream.Upstream{Identity: upstream.Identity{Service: "orders", Incarnation: 7}, Sequence: 3, State: upstream.Draining}
}

// Symptom: new flows went to an upstream seconds after its departure was
// acknowledged.
// Events: an upstream tells a voter that it drains, gets its acknowledgement,
// and the voter loses power before any balancer heard of it.
// Cause: only that voter knew.
func TestDepartureIsHeldByAMajorityBeforeItIsAcknowledged(t *testing.T) {
	vs := voters(t, 3, 1)
	require.NoError(t, vs[0].upstreams.Announce(t.Context(), leaving(), 0))
	notices, _ := vs[1].feed.Notices(time.Now())
	require.Len(t, notices, 1)
	require.Equal(t, upstream.Draining, notices[0].Upstream.State)
}

func TestDepartureWithoutAMajorityIsNotAcknowledged(t *testing.T) {
	vs := voters(t, 3, 2)
	var unshared *upstreams.UnsharedError
	require.ErrorAs(t, vs[0].upstreams.Announce(t.Context(), leaving(), 0), &unshared)
	notices, _ := vs[0].feed.Notices(time.Now())
	require.Len(t, notices, 1, "balancers in reach hear of it all the same")
}

// Symptom: a departure was acknowledged that no other voter knew of.
// Events: a voter starts with an empty disk; before any other voter has spoken
// to it, an upstream tells it that it drains.
// Cause: it knew no voter but itself, and took itself for the majority.
func TestVoterWithoutAListAcknowledgesNoDeparture(t *testing.T) {
	address := server.Listen(t).Address()
	f := feed.New(1, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), time.Now)
	u := upstreams.New(upstreams.Settings{
		Token: "group", Clock: time.Now, Self: address, Known: func() []string { return []string{address} },
		Voting: func() []string { return nil },
	}, f, hclog.NewNullLogger())
	var unlisted *upstreams.UnlistedError
	require.ErrorAs(t, u.Announce(t.Context(), leaving(), 0), &unlisted)
	notices, _ := f.Notices(time.Now())
	require.Len(t, notices, 1, "balancers in reach hear of it all the same")
	ready := leaving()
	ready.Incarnation, ready.State = 8, upstream.Ready
	require.NoError(t, u.Announce(t.Context(), ready, 0), "an upstream that serves needs no majority")
}

// Symptom: a departure was acknowledged that would not outlive the loss of two
// voters that a list of five bears.
// Events: two learners hold it beside the voter that was told, two voters do not.
// Cause: everyone known was counted, with or without a vote.
func TestOnlyVotersCountTowardsTheMajority(t *testing.T) {
	vs := voters(t, 5, 2)
	known := vs[0].known
	voting := append([]string{known[0]}, known[3:]...)
	u := upstreams.New(upstreams.Settings{
		Token: "group", Clock: time.Now, Self: known[0], Known: func() []string { return known },
		Voting: func() []string { return voting },
	}, vs[0].feed, hclog.NewNullLogger())
	var unshared *upstreams.UnsharedError
	require.ErrorAs(t, u.Announce(t.Context(), leaving(), 0), &unshared)
	require.Equal(t, upstreams.UnsharedError{Holders: 1, Needed: 2}, *unshared)
}

// Symptom: an upstream that served was taken for replaced, again and again.
// Events: another writer announces its address under a service that no configuration
// names.
// Cause: the address went to whoever was heard last.
func TestUpstreamOfAnUnknownServiceTakesNoAddress(t *testing.T) {
	v := voters(t, 1, 0)[0]
	v.feed.Publish(history.History{}.With(configuration.Configuration{
		Revision: 1, Services: []configuration.Service{{Name: "orders"}},
	}))
	serves := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 7, Address: netip.MustParseAddrPort("10.0.0.1:80")}, Sequence: 1,
	}
	require.NoError(t, v.upstreams.Announce(t.Context(), serves, 0))
	other := serves
	other.Service, other.Incarnation = "nobody", 8
	var unknown *upstreams.UnknownServiceError
	require.ErrorAs(t, v.upstreams.Announce(t.Context(), other, 0), &unknown)
	notices, _ := v.feed.Notices(time.Now())
	require.Len(t, notices, 1)
	require.False(t, notices[0].Replaced)
}

// withBalancers lets a voter know of so many balancers of zone a.
func withBalancers(v voter, n int) {
	for i := range n {
		m := member.Member{Zone: "a", Address: fmt.Sprintf("10.1.0.%d:7720", i+1), Announcements: fmt.Sprintf("10.1.0.%d:7721", i+1)}
		v.feed.Attend(time.Now(), []members.Attendance{{Member: m}})
	}
}

func inZoneA() upstream.Upstream {
	return upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 9, Address: netip.MustParseAddrPort("10.1.64.1:80")},
		Zone:     "a", Sequence: 5,
	}
}

func heard(v voter) int {
	all, _ := v.feed.Notices(time.Now())
	return len(all)
}

// Symptom: where all balancers of a large fleet restarted, each upstream was news to all of
// them six times.
// Events: the balancer that an upstream announces itself to has ended; it turns to any voter.
// Cause: each voter that it reached told of it, and later that it heard it no longer.
func TestAnnouncementIsHandedToTheVoterOfItsZone(t *testing.T) {
	all := voters(t, 2, 0)
	withBalancers(all[1], 9)
	require.NoError(t, all[1].upstreams.Announce(t.Context(), inZoneA(), 0))
	require.Equal(t, 1, heard(all[0]))
	require.Zero(t, heard(all[1]))
	require.NotEmpty(t, all[1].upstreams.Refer(inZoneA()))
}

func TestAnnouncementStaysWhereItsVoterDoesNotAnswer(t *testing.T) {
	all := voters(t, 3, 1)
	withBalancers(all[0], 9)
	u := inZoneA()
	u.Zone = "c"
	for i := range 9 {
		m := member.Member{Zone: "c", Address: fmt.Sprintf("10.3.0.%d:7720", i+1)}
		all[0].feed.Attend(time.Now(), []members.Attendance{{Member: m}})
	}
	require.NoError(t, all[0].upstreams.Announce(t.Context(), u, 0))
	require.Equal(t, 1, heard(all[0]))
}

func TestAnnouncementsOfSmallZonesStayWhereTheyAreMade(t *testing.T) {
	all := voters(t, 2, 0)
	withBalancers(all[1], 4)
	require.NoError(t, all[1].upstreams.Announce(t.Context(), inZoneA(), 0))
	require.Equal(t, 1, heard(all[1]))
	require.Empty(t, all[1].upstreams.Refer(inZoneA()))
}

// Balancers hand on no departures: one would be acknowledged before a majority holds it.
func TestDepartureThatABalancerHandsOnIsNotTaken(t *testing.T) {
	all := voters(t, 1, 0)
	client := rpc.NewClient(all[0].known[0], "group")
	t.Cleanup(client.Close)
	_, err := rpc.Call[[]handover.Announcement, struct{}](t.Context(), client, upstreams.HandOverMethod, []handover.Announcement{
		{Upstream: leaving()}, {Upstream: inZoneA(), Age: time.Second},
	})
	require.NoError(t, err)
	told, _ := all[0].feed.Notices(time.Now())
	require.Len(t, told, 1)
	require.Equal(t, uint64(9), told[0].Upstream.Incarnation)
	require.GreaterOrEqual(t, told[0].Age, time.Second, "it was heard when the balancer took it")
}
