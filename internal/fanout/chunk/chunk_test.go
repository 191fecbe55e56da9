package chunk_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/chunk"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// parent returns the state of a parent that has received some upstreams from each voter.
func parent(voters, each int) (*origins.Origins, func(origins.Update) []directory.Notice) {
	o := origins.New()
	for v := range voters {
		o.Apply(epoch, origins.Update{
			VoterVersion: origins.VoterVersion{Voter: fmt.Sprintf("v%02d", v), Life: 1, Version: uint64(each)}, Zone: fmt.Sprintf("z%d", v%5),
		})
	}
	return o, func(x origins.Update) []directory.Notice {
		out := make([]directory.Notice, each)
		for i := range out {
			out[i].Upstream = upstream.Upstream{Identity: upstream.Identity{Incarnation: uint64(i)}, Zone: x.Zone}
		}
		return out
	}
}

// A follower starts and lacks the whole fleet. If the whole fleet were sent in one response, the
// poll would time out, and the follower would request the same again.
func TestStartingFollowerReceivesFleetInChunks(t *testing.T) {
	for _, c := range []struct{ voters, each, responses, largest int }{
		{25, 400, 13, 800},
		{25, 800, 25, 800},
		{5, 30, 1, 150},
		{5, 600, 5, 600},
	} {
		above, notices := parent(c.voters, c.each)
		follower := origins.New()
		responses, received, largest := 0, 0, 0
		for {
			all, updated := above.UpdatesSince(epoch, follower.VoterVersions(epoch))
			if !updated {
				break
			}
			chunk.New("z2").Fill(all, notices)
			responses++
			require.LessOrEqual(t, responses, c.voters, "each response has updates")
			filled := 0
			for _, x := range all {
				filled += len(x.Notices)
				if len(x.Notices) > 0 && responses == 1 && c.responses > 1 {
					require.Equal(t, "z2", x.Zone, "the notices of the follower's zone come first")
				}
				require.Equal(t, x.Life != 0, follower.Apply(epoch, x))
			}
			received += filled
			largest = max(largest, filled)
		}
		require.Equal(t, c.responses, responses)
		require.Equal(t, c.voters*c.each, received)
		require.Equal(t, c.largest, largest)
		require.Len(t, follower.VoterVersions(epoch), c.voters)
	}
}

// Notices of some voters are deferred to a later response. These voters must not count as
// unreachable in the meantime.
func TestResponseHasContactOfAllVoters(t *testing.T) {
	above, notices := parent(25, 400)
	all, _ := above.UpdatesSince(epoch.Add(time.Second), nil)
	chunk.New("z0").Fill(all, notices)
	require.Len(t, all, 25)
	for _, x := range all {
		require.Equal(t, time.Second, x.Age)
	}
}
