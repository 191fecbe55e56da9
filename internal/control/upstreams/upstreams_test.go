package upstreams_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/server"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/wire/rpc"
)

type voter struct {
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
		others := lo.Without(addresses, addresses[i])
		u := upstreams.New(upstreams.Settings{
			Token: "group", Clock: time.Now, Others: func() []string { return others },
		}, f, hclog.NewNullLogger())
		out = append(out, voter{f, u})
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
