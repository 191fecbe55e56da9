package upstreams_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/server"
	"wasabideal/internal/upstream/directory"
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
