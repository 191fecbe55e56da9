package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/rendezvous"
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.%d.0.%d:7720", i%5, i))
	}
	return out
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	const keys, nodes, each = 10_000, 25, 2
	n := rendezvous.New(names(nodes))
	count := map[string]int{}
	for key := range uint64(keys) {
		first := n.First(key*7919, each)
		require.Len(t, first, each)
		require.NotEqual(t, first[0], first[1])
		for _, name := range first {
			count[name]++
		}
	}
	for name, n := range count {
		require.InDelta(t, keys*each/nodes, n, 0.15*keys*each/nodes, name)
	}
	require.Len(t, count, nodes)
}

func TestLeavingNodeMovesOnlyItsOwnKeys(t *testing.T) {
	all := names(25)
	before, after := rendezvous.New(all), rendezvous.New(slices.Delete(slices.Clone(all), 7, 8))
	for key := range uint64(2000) {
		first := before.First(key, 2)
		if !slices.Contains(first, all[7]) {
			require.Equal(t, first, after.First(key, 2))
		}
	}
}

func TestAllNodesAreReturnedUpToLimit(t *testing.T) {
	require.Equal(t, names(2), rendezvous.New(names(2)).First(7, 3))
	require.Empty(t, rendezvous.New(nil).First(7, 3))
}
