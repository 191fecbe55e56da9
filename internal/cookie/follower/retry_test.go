package follower

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/wire/rpc"
)

// All VMs lose power, and balancers start a third of a second before the voters. The balancers'
// pauses used to grow meanwhile, and connection attempts made before a voter was up hung until
// their timeout: balancers became ready up to 0.2 s after the first voter answered.
func TestPausesGrowOnlyWhileAnotherVoterAnswers(t *testing.T) {
	var r backoff
	for range 50 {
		pause, dial := r.next(true, 5)
		require.Equal(t, isolatedRetryPause, pause)
		require.Equal(t, isolatedDialTimeout, dial)
	}
	var pauses []time.Duration
	for range 5 {
		pause, dial := r.next(false, 5)
		require.Equal(t, rpc.DialTimeout, dial)
		pauses = append(pauses, pause)
	}
	require.Equal(t, []time.Duration{minRetryPause, 2 * minRetryPause, 4 * minRetryPause, maxRetryPause, maxRetryPause}, pauses)
}

// No voter answers 177 balancers. Connection attempts used to multiply by the number of voters:
// each balancer dialed each of 25 voters 25 times a second.
func TestIsolatedDialRateIsIndependentOfVoterCount(t *testing.T) {
	for _, voters := range []int{5, 6, 25, 50} {
		var r backoff
		pause, dial := r.next(true, voters)
		require.Equal(t, isolatedDialTimeout, dial)
		require.LessOrEqual(t, time.Duration(voters)*time.Second/(pause+dial), 125*time.Second, "%d voters", voters)
	}
}
