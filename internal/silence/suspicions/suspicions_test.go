package suspicions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestReportsOfVotersAreMerged(t *testing.T) {
	d := suspicions.New(3 * time.Second)
	one := evidence.Subject{Incarnation: 1}
	require.False(t, d.Update(epoch, "v1", nil))
	require.True(t, d.Update(epoch, "v1", []evidence.Suspicion{{Subject: one, Age: 300 * time.Millisecond}}))
	require.True(t, d.Update(epoch, "v2", []evidence.Suspicion{{Subject: one, Age: 200 * time.Millisecond, Unresponsive: true}}))
	require.Equal(t, map[evidence.Subject]suspicions.Suspicion{
		one: {First: epoch.Add(-300 * time.Millisecond), Unresponsive: true, Voter: "v2"},
	}, d.All())
	require.True(t, d.Update(epoch, "v2", nil))
	require.False(t, d.All()[one].Unresponsive)
}

// A voter suspects an upstream and then loses power, and the upstream recovers. Unless the
// voter's last report expires, the upstream gets no flow.
func TestReportOfAnUnreachableVoterExpires(t *testing.T) {
	d := suspicions.New(3 * time.Second)
	d.Update(epoch, "v1", []evidence.Suspicion{{Subject: evidence.Subject{Zone: "a"}}})
	require.False(t, d.Expire(epoch.Add(2*time.Second)))
	require.True(t, d.Expire(epoch.Add(4*time.Second)))
	require.Empty(t, d.All())
	d.RecordContact(epoch.Add(4*time.Second), "v1")
	require.True(t, d.Expire(epoch.Add(4*time.Second)), "the voter is back and its report is unchanged")
	require.Len(t, d.All(), 1)
	require.False(t, d.Expire(epoch.Add(5*time.Second)))
	d.RecordContact(epoch.Add(4*time.Second), "v2")
	require.True(t, d.Any())
	d.Update(epoch.Add(5*time.Second), "v1", nil)
	require.False(t, d.Any())
}
