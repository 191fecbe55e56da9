package verdicts_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/verdicts"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func update(voter string, age time.Duration, reduced ...evidence.Reduced) verdicts.Update {
	return verdicts.Update{Known: verdicts.Known{Voter: voter, Version: verdicts.Version(reduced), Age: age}, Reduced: reduced}
}

// A voter that found an upstream uneven is killed. Without an end, the upstream would never get its
// flows back.
func TestVerdictsThatAreNotRepeatedAreDropped(t *testing.T) {
	s := verdicts.New()
	x := evidence.Reduced{Cookie: 1, Halvings: 2}
	require.True(t, s.Apply(epoch, update("v1", 0, x)))
	repeated := epoch.Add(2 * time.Second)
	require.False(t, s.Apply(repeated, verdicts.Update{Known: verdicts.Known{Voter: "v1", Version: verdicts.Version([]evidence.Reduced{x})}}))
	s.Expire(repeated.Add(2900 * time.Millisecond))
	require.Len(t, s.All(), 1)
	s.Expire(repeated.Add(3 * time.Second))
	require.Empty(t, s.All())
}

// Two parents relay the verdicts of a voter. The older ones must not replace the later ones.
func TestOlderVerdictsAreIgnored(t *testing.T) {
	s := verdicts.New()
	require.True(t, s.Apply(epoch, update("v1", 0, evidence.Reduced{Cookie: 1, Halvings: 2})))
	require.True(t, s.Apply(epoch.Add(time.Second), update("v1", 0)))
	require.False(t, s.Apply(epoch.Add(1100*time.Millisecond), update("v1", time.Second, evidence.Reduced{Cookie: 1, Halvings: 2})))
	require.Empty(t, s.All())
}

// A withdrawal that is not relayed would leave followers with the verdict until it expires.
func TestWithdrawalsAreRelayed(t *testing.T) {
	parent, child := verdicts.New(), verdicts.New()
	relay := func(now time.Time) bool {
		all, changed := parent.Since(now, child.Known(now))
		for _, u := range all {
			child.Apply(now, u)
		}
		return changed
	}
	parent.Apply(epoch, update("v1", 0, evidence.Reduced{Cookie: 1, Halvings: 2}))
	require.True(t, relay(epoch.Add(10*time.Millisecond)))
	require.Len(t, child.All(), 1)
	require.False(t, relay(epoch.Add(20*time.Millisecond)))
	parent.Apply(epoch.Add(time.Second), update("v1", 0))
	require.True(t, relay(epoch.Add(1010*time.Millisecond)))
	require.Empty(t, child.All())
	parent.Expire(epoch.Add(10 * time.Second))
	all, changed := parent.Since(epoch.Add(10*time.Second), child.Known(epoch.Add(10*time.Second)))
	require.Empty(t, all)
	require.False(t, changed)
}

// Updates of two voters arrive lost, late and twice. A balancer must hold no verdict that neither voter
// has sent within the lease, and must reach what its parent holds without polling in a loop.
func TestRelayConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parent, child := verdicts.New(), verdicts.New()
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
			var reduced []evidence.Reduced
			for cookie := range rapid.IntRange(0, 3).Draw(t, "reduced") {
				reduced = append(reduced, evidence.Reduced{Cookie: uint32(cookie), Halvings: uint8(rapid.IntRange(1, 4).Draw(t, "halvings"))})
			}
			age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
			u := update(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "voter"), age, reduced...)
			parent.Apply(now, u)
			if rapid.Bool().Draw(t, "direct") {
				child.Apply(now, u)
			}
			parent.Expire(now)
			child.Expire(now)
			for poll := range 3 {
				all, changed := parent.Since(now, child.Known(now))
				require.False(t, changed && poll == 2, "polls without a change end")
				for _, u := range all {
					child.Apply(now, u)
				}
			}
			require.LessOrEqual(t, len(child.All()), 3)
		}
		child.Expire(now.Add(3 * time.Second))
		require.Empty(t, child.All())
	})
}
