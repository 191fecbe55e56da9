package bootstrap_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/bootstrap"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestVotersArePolledSequentially(t *testing.T) {
	var x bootstrap.Sequencer
	require.True(t, x.Allow(at(0), "v1"))
	require.False(t, x.Allow(at(10), "v2"))
	require.True(t, x.Allow(at(20), "v1"), "the current voter may be polled again")
	require.True(t, x.Allow(at(180), "v2"), "the first one timed out")
	require.True(t, x.RecordResponse("v2", true))
	require.True(t, x.Done())
	require.True(t, x.Allow(at(190), "v3"))
	require.False(t, x.RecordResponse("v3", true), "the startup has already ended")
}

func TestFailedVoterAllowsTheNext(t *testing.T) {
	var x bootstrap.Sequencer
	require.True(t, x.Allow(at(0), "v1"))
	x.RecordFailure("v1")
	require.True(t, x.Allow(at(1), "v2"))
}

// All VMs lose power, and a voter with an empty disk answers first. It was polled again each time
// before any other voter, so balancers stayed unready for seconds although other voters answered.
func TestIncompleteVoterDoesNotBlockOthers(t *testing.T) {
	var x bootstrap.Sequencer
	require.True(t, x.Allow(at(0), "empty"))
	require.False(t, x.RecordResponse("empty", false))
	require.True(t, x.Allow(at(1), "empty"), "an incomplete voter may still be polled")
	require.True(t, x.Allow(at(2), "complete"))
	require.False(t, x.Done())
	require.True(t, x.RecordResponse("complete", true))
}
