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

// A balancer stops, and its followers poll only some voters for a moment. The followers used to
// forward announcements to those voters only, so that upstreams got another owner and were
// announced to the whole fleet again.
func TestUpstreamsKeepVoterWhileSubsetIsPolled(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := New(Settings{Clock: func() time.Time { return now }, Self: member.Member{Zone: "a", Address: "self"}}, nil, hclog.NewNullLogger())
	for _, voter := range []string{"polled", "failing", "relayed", "stale"} {
		f.voterSeen[voter] = now
	}
	recordState := func(voter string, age time.Duration) {
		f.origins.Apply(now, origins.Update{VoterVersion: origins.VoterVersion{Voter: voter, Life: 1, Age: age}, Zone: "a"})
	}
	recordState("polled", 0)
	recordState("failing", 0)
	recordState("relayed", time.Second)
	recordState("stale", 2*ContactLease)
	f.polled["polled"] = &source{isVoter: true, responsive: true}
	f.polled["failing"] = &source{isVoter: true}
	require.ElementsMatch(t, []owner.Voter{{Address: "polled", Zone: "a"}, {Address: "relayed", Zone: "a"}}, f.Voters())
}
