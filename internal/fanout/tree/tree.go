package tree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Shape bounds a tree.
type Shape struct {
	// Small is the size up to which all balancers of a zone follow the voters.
	Small int
	// Roots is how many do in a larger zone.
	Roots int
	// Fanout is how many balancers follow another one, in the mean.
	Fanout int
}

// candidatesMost bounds the balancers that one may follow. Each that fails costs some
// tenths of a second, after which the voters are nearer.
const maxCandidates = 8

// Place is a balancer's place.
type Place struct {
	// Level is 0 for those that follow the voters.
	Level int
	// Candidates are whom it may follow, the first one first.
	Candidates []string
}

type node struct {
	address string
	hash    uint64
}

func compareNodes(a, b node) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
}

// Of returns the place of a balancer among those of its zone, itself named or not.
func (s Shape) Of(self string, zone []string) Place {
	me := node{address: self, hash: xxhash.Sum64String(self)}
	var before []node
	for _, a := range zone {
		if n := (node{address: a, hash: xxhash.Sum64String(a)}); a != self && compareNodes(n, me) < 0 {
			before = append(before, n)
		}
	}
	slices.SortFunc(before, compareNodes)
	level, from, until := s.level(len(before))
	if level == 0 || !s.Grows(zone) {
		return Place{Candidates: candidates(self, before)}
	}
	return Place{Level: level, Candidates: candidates(self, before[from:until], before[:from])}
}

// Grows says that not all balancers of a zone follow the voters.
func (s Shape) Grows(zone []string) bool { return len(zone) > max(s.Small, s.Roots) }

// Levels is how many levels a zone of so many balancers has.
func (s Shape) Levels(balancers int) int {
	if balancers <= max(s.Small, s.Roots) {
		return 1
	}
	level, _, _ := s.level(balancers - 1)
	return level + 1
}

// level returns the level at an index of the order, and which indices the level above
// has.
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

// candidates returns the nodes of some groups, group by group. Within one, each balancer
// has an order of its own that a node which joins or leaves changes nowhere else.
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

// Top returns the balancers of a zone that follow the voters.
func (s Shape) Top(zone []string) map[string]bool {
	nodes := make([]node, len(zone))
	for i, a := range zone {
		nodes[i] = node{address: a, hash: xxhash.Sum64String(a)}
	}
	slices.SortFunc(nodes, compareNodes)
	if s.Grows(zone) {
		nodes = nodes[:max(s.Roots, 1)]
	}
	top := map[string]bool{}
	for _, n := range nodes {
		top[n.address] = true
	}
	return top
}
