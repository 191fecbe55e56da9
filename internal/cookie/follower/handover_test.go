package follower

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/upstream/owner"
)

// Guards against upstreams that move to another voter, and are announced to the whole fleet again,
// when a balancer stops. Its followers poll only some voters for a moment, and forwarded their
// upstreams to those.
func TestUpstreamsKeepVoterWhileSubsetIsPolled(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := New(Settings{Clock: func() time.Time { return now }, Self: member.Member{Zone: "a", Address: "self"}}, nil, hclog.NewNullLogger())
	for _, voter := range []string{"asked", "fails", "heard", "gone"} {
		f.voterSeen[voter] = now
	}
	recordState := func(voter string, age time.Duration) {
		f.origins.Apply(now, origins.Update{Known: origins.Known{Voter: voter, Life: 1, Age: age}, Zone: "a"})
	}
	recordState("asked", 0)
	recordState("fails", 0)
	recordState("heard", time.Second)
	recordState("gone", 2*ContactLease)
	f.watches["asked"] = &watch{voter: true, responsive: true}
	f.watches["fails"] = &watch{voter: true}
	require.ElementsMatch(t, []owner.Voter{{Address: "asked", Zone: "a"}, {Address: "heard", Zone: "a"}}, f.Voters())
}
