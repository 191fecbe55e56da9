package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Nodes is a set of nodes with the hashes of their names.
type Nodes struct {
	names  []string
	hashes []uint64
}

// New returns the nodes with the given names.
func New(names []string) Nodes {
	n := Nodes{names: names, hashes: make([]uint64, len(names))}
	for i, x := range names {
		n.hashes[i] = xxhash.Sum64String(x)
	}
	return n
}

// First returns the names of up to limit nodes with the highest weights for a key, in descending
// order of weight. If there are no more than limit nodes, it returns all names in their given
// order.
func (n Nodes) First(key uint64, limit int) []string {
	if len(n.names) <= limit {
		return n.names
	}
	var best []int
	for i := range n.names {
		at := len(best)
		for at > 0 && Weight(n.hashes[i], key) > Weight(n.hashes[best[at-1]], key) {
			at--
		}
		if at < limit {
			best = slices.Insert(best, at, i)[:min(len(best)+1, limit)]
		}
	}
	out := make([]string, len(best))
	for i, b := range best {
		out[i] = n.names[b]
	}
	return out
}

// Weight returns the weight of a key at a node; node is the hash of the node's name. It uses the
// finalizer of SplitMix64.
func Weight(node, key uint64) uint64 {
	x := node ^ key
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
