package tree_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/fanout/tree"
)

var shape = tree.Shape{Small: 8, Roots: 4, Fanout: 8}

func zone(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.1.%d.%d:7720", i/250, i%250+1)
	}
	return out
}

func TestLevelsGrowLogarithmically(t *testing.T) {
	for _, c := range []struct{ balancers, levels, roots int }{
		{1, 1, 1},
		{8, 1, 8},
		{9, 2, 4},
		{36, 2, 4},
		{37, 3, 4},
		{600, 4, 4},
	} {
		t.Run(fmt.Sprint(c.balancers), func(t *testing.T) {
			all := zone(c.balancers)
			levels := map[int]int{}
			for _, a := range all {
				levels[shape.PlaceOf(a, all).Level]++
			}
			require.Len(t, levels, c.levels)
			require.Equal(t, c.levels, shape.Levels(c.balancers))
			require.Equal(t, c.roots, levels[0])
			require.Len(t, shape.RootsOf(all), c.roots)
		})
	}
}

func TestRootsAreAtLevelZero(t *testing.T) {
	all := zone(40)
	roots := shape.RootsOf(all)
	for _, a := range all {
		require.Equal(t, shape.PlaceOf(a, all).Level == 0, roots[a])
	}
}

// Hashes spread followers unevenly, but no balancer has more than twice the mean number of
// followers.
func TestFollowersAreSpread(t *testing.T) {
	all := zone(600)
	followers := map[string]int{}
	for _, a := range all {
		if p := shape.PlaceOf(a, all); p.Level > 0 {
			followers[p.Candidates[0]]++
		}
	}
	most := 0
	for _, n := range followers {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 2*shape.Fanout)
}

func TestJoinMovesFewBalancers(t *testing.T) {
	before, after := zone(100), zone(101)
	moved := 0
	for _, a := range before {
		x, y := shape.PlaceOf(a, before), shape.PlaceOf(a, after)
		if x.Level > 0 && (y.Level == 0 || x.Candidates[0] != y.Candidates[0]) {
			moved++
		}
	}
	require.LessOrEqual(t, moved, 15)
}

// Other balancers joined and left, and two balancers held different lists. Each list placed the
// other balancer above its holder, so the two followed each other. They received no changes,
// although each parent answered.
func TestNoCyclesWithDifferentLists(t *testing.T) {
	all := zone(60)
	rapid.Check(t, func(t *rapid.T) {
		candidates := map[string][]string{}
		for _, a := range all {
			list := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, a)
			candidates[a] = shape.PlaceOf(a, list).Candidates
		}
		seen := map[string]int{}
		var visit func(a string) bool
		visit = func(a string) bool {
			if seen[a] != 0 {
				return seen[a] == 2
			}
			seen[a] = 1
			for _, c := range candidates[a] {
				if !visit(c) {
					return false
				}
			}
			seen[a] = 2
			return true
		}
		for _, a := range all {
			if !visit(a) {
				t.Fatalf("a cycle through %s", a)
			}
		}
	})
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{40, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := zone(n)
			b.ReportAllocs()
			for b.Loop() {
				shape.PlaceOf(all[n/2], all)
			}
		})
	}
}
