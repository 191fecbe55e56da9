package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/turn"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestOneVoterAfterTheOther(t *testing.T) {
	var x turn.Sequencer
	require.True(t, x.Allow(at(0), "v1"))
	require.False(t, x.Allow(at(10), "v2"))
	require.True(t, x.Allow(at(20), "v1"), "it is asked again")
	require.True(t, x.Allow(at(180), "v2"), "the first is slow")
	require.True(t, x.RecordAnswer("v2", true))
	require.True(t, x.Done())
	require.True(t, x.Allow(at(190), "v3"))
	require.False(t, x.RecordAnswer("v3", true), "it was over before")
}

func TestVoterThatFailsGivesItsTurnAway(t *testing.T) {
	var x turn.Sequencer
	require.True(t, x.Allow(at(0), "v1"))
	x.RecordFailure("v1")
	require.True(t, x.Allow(at(1), "v2"))
}

// Symptom: balancers were not ready for seconds, though voters answered.
// Events: all VMs lose power; a voter comes back with an empty disk and answers first, again
// and again.
// Cause: it took the turn each time before another one could.
func TestVoterThatToldTooLittleDoesNotKeepTheTurn(t *testing.T) {
	var x turn.Sequencer
	require.True(t, x.Allow(at(0), "empty"))
	require.False(t, x.RecordAnswer("empty", false))
	require.True(t, x.Allow(at(1), "empty"), "it may be asked on")
	require.True(t, x.Allow(at(2), "whole"))
	require.False(t, x.Done())
	require.True(t, x.RecordAnswer("whole", true))
}
