package tree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Shape holds the limits of a tree.
type Shape struct {
	// Small is the zone size up to which all balancers follow the voters.
	Small int
	// Roots is how many balancers follow the voters in a larger zone.
	Roots int
	// Fanout is the mean number of followers of a balancer.
	Fanout int
}

// maxCandidates bounds the candidate parents of a balancer. Each failed candidate takes some tenths
// of a second; after maxCandidates failures, following the voters is faster.
const maxCandidates = 8

// Place is the position of a balancer in the tree.
type Place struct {
	// Level is 0 for the roots.
	Level int
	// Candidates are the possible parents in order of preference.
	Candidates []string
}

type node struct {
	address string
	hash    uint64
}

func compareNodes(a, b node) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
}

// PlaceOf returns the place of a balancer among the balancers of its zone. The list may omit the
// balancer itself.
func (s Shape) PlaceOf(self string, zone []string) Place {
	own := node{address: self, hash: xxhash.Sum64String(self)}
	var predecessors []node
	for _, a := range zone {
		if n := (node{address: a, hash: xxhash.Sum64String(a)}); a != self && compareNodes(n, own) < 0 {
			predecessors = append(predecessors, n)
		}
	}
	slices.SortFunc(predecessors, compareNodes)
	level, from, until := s.level(len(predecessors))
	if level == 0 || !s.MultiLevel(zone) {
		return Place{Candidates: candidates(self, predecessors)}
	}
	return Place{Level: level, Candidates: candidates(self, predecessors[from:until], predecessors[:from])}
}

// MultiLevel reports whether the zone has more than one level.
func (s Shape) MultiLevel(zone []string) bool { return len(zone) > max(s.Small, s.Roots) }

// Levels returns the number of levels in a zone with the given number of balancers.
func (s Shape) Levels(balancers int) int {
	if balancers <= max(s.Small, s.Roots) {
		return 1
	}
	level, _, _ := s.level(balancers - 1)
	return level + 1
}

// level returns the level at an index of the order. The level above consists of the indices from
// <= i < until.
func (s Shape) level(index int) (level, from, until int) {
	size := max(s.Roots, 1)
	end := size
	for index >= end {
		level++
		from, until = until, end
		size *= max(s.Fanout, 2)
		end += size
	}
	return level, from, until
}

// candidates returns the addresses of at most maxCandidates nodes of several groups, group by group.
// Within a group, the nodes are ordered by a hash that depends on the balancer, so that a node that
// joins or leaves does not reorder the others.
func candidates(self string, groups ...[]node) []string {
	var out []string
	for _, g := range groups {
		ranked := make([]node, 0, len(g))
		for _, n := range g {
			ranked = append(ranked, node{address: n.address, hash: xxhash.Sum64String(self + " " + n.address)})
		}
		slices.SortFunc(ranked, compareNodes)
		for _, n := range ranked[:min(len(ranked), maxCandidates-len(out))] {
			out = append(out, n.address)
		}
	}
	return out
}

// RootsOf returns the balancers of a zone that follow the voters.
func (s Shape) RootsOf(zone []string) map[string]bool {
	nodes := make([]node, len(zone))
	for i, a := range zone {
		nodes[i] = node{address: a, hash: xxhash.Sum64String(a)}
	}
	slices.SortFunc(nodes, compareNodes)
	if s.MultiLevel(zone) {
		nodes = nodes[:max(s.Roots, 1)]
	}
	roots := map[string]bool{}
	for _, n := range nodes {
		roots[n.address] = true
	}
	return roots
}
