package assignment_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/fanout/assignment"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.0.0.%d:7000", i)
	}
	return out
}

func TestEachKeyHasOneOwner(t *testing.T) {
	all := names(22)
	var owners []*assignment.Assignment
	for _, n := range all {
		a := assignment.New(epoch, n)
		a.Set(epoch, all)
		owners = append(owners, a)
	}
	now := epoch.Add(time.Minute)
	most := 0
	for _, a := range owners {
		count := 0
		for key := range uint64(2000) {
			if a.Owns(now, key*0x9e3779b97f4a7c15) {
				count++
			}
		}
		most = max(most, count)
	}
	require.Less(t, most, 2*2000/22, "keys are distributed evenly")
	for key := range uint64(200) {
		ownerCount := 0
		for _, a := range owners {
			if a.Owns(now, key) {
				ownerCount++
			}
		}
		require.Equal(t, 1, ownerCount)
	}
}

// Balancers restart, and for the first seconds each knows only itself or a few others. Without
// startupGrace, each would own every key, and all would send flows to the same cold upstream.
// After a change of the list, a balancer owns a gained key only once the previous list has expired.
func TestKeysAreOwnedOnlyAfterStartupGraceAndOverlap(t *testing.T) {
	a := assignment.New(epoch, "me")
	require.False(t, a.Owns(epoch.Add(time.Hour), 7), "no list has been set")
	a.Set(epoch, []string{"me"})
	require.False(t, a.Owns(epoch.Add(5*time.Second), 7))
	require.True(t, a.Owns(epoch.Add(7*time.Second), 7))
	a.Set(epoch.Add(8*time.Second), []string{"other"})
	require.False(t, a.Owns(epoch.Add(9*time.Second), 7), "a balancer that loses a key stops owning it at once")
	a.Set(epoch.Add(10*time.Second), []string{"me"})
	require.False(t, a.Owns(epoch.Add(12*time.Second), 7), "other balancers may still use the previous list")
	require.True(t, a.Owns(epoch.Add(17*time.Second), 7))
}

// For random changes that each balancer receives within maxPropagation, no key has two owners.
func TestNoKeyHasTwoOwnersDuringPropagation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(8)
		owners := map[string]*assignment.Assignment{}
		for _, n := range all {
			owners[n] = assignment.New(epoch.Add(-time.Minute), n)
			owners[n].Set(epoch.Add(-time.Minute), all)
		}
		type update struct {
			at      time.Time
			change  int
			to      string
			members []string
		}
		var pending []update
		members := slices.Clone(all)
		now := epoch
		for change := range rapid.IntRange(1, 12).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			who := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
			if i := slices.Index(members, who); i >= 0 && len(members) > 1 {
				members = slices.Delete(slices.Clone(members), i, i+1)
			} else if i < 0 {
				members = append(slices.Clone(members), who)
			}
			for _, n := range all {
				delay := time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond
				pending = append(pending, update{at: now.Add(delay), change: change, to: n, members: members})
			}
		}
		slices.SortStableFunc(pending, func(a, b update) int { return a.at.Compare(b.at) })
		latest := map[string]int{}
		for _, p := range pending {
			// An earlier change that arrives after a later one is ignored.
			if p.change >= latest[p.to] {
				latest[p.to] = p.change
				owners[p.to].Set(p.at, p.members)
			}
			for key := range uint64(6) {
				ownerCount := 0
				for _, a := range owners {
					if a.Owns(p.at, key) {
						ownerCount++
					}
				}
				require.LessOrEqual(t, ownerCount, 1)
			}
		}
	})
}

// A balancer left the list and rejoined 2.2 s later. It received the second change first and kept
// its keys; another balancer received that change 1 s later. With an overlap of only one
// propagation time, the only valid list of the other balancer was by then the list without the
// first balancer, and a key had two owners for a millisecond.
func TestBalancerThatMissedItsOwnRemovalKeepsItsKeys(t *testing.T) {
	all := names(8)
	without := slices.Delete(slices.Clone(all), 6, 7)
	for key := range uint64(64) {
		left := assignment.New(epoch.Add(-time.Minute), all[6])
		left.Set(epoch.Add(-time.Minute), all)
		var others []*assignment.Assignment
		for _, n := range without {
			a := assignment.New(epoch.Add(-time.Minute), n)
			a.Set(epoch.Add(-time.Minute), all)
			a.Set(epoch, without)
			others = append(others, a)
		}
		// Until 5,200 ms, other balancers may not have received the second change.
		for now := time.Duration(0); now <= 5200*time.Millisecond; now += 100 * time.Millisecond {
			for _, a := range others {
				require.False(t, left.Owns(epoch.Add(now), key) && a.Owns(epoch.Add(now), key), "at %s", now)
			}
		}
	}
}
