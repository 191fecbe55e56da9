package slotassignment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/flow/key"
)

// Upstream is the name of an upstream and the number of its slots.
type Upstream struct {
	Name  string
	Slots int
}

// Assignment counts the slots of each upstream that are assigned to each balancer.
type Assignment struct{ assigned map[string]map[string]int }

type slot struct {
	upstream string
	hash     uint64
}

// Assign assigns the slots evenly by rendezvous hashing: each slot goes to its highest-ranked
// balancer that has fewer slots than the even share, rounded up.
func Assign(upstreams []Upstream, balancers []string) Assignment {
	a := Assignment{assigned: map[string]map[string]int{}}
	seeds := make([]uint64, len(balancers))
	for i, b := range balancers {
		seeds[i] = xxhash.Sum64String(b)
		a.assigned[b] = map[string]int{}
	}
	slots := sortedSlots(upstreams)
	if len(balancers) == 0 || len(slots) == 0 {
		return a
	}
	share := (len(slots) + len(balancers) - 1) / len(balancers)
	counts := make([]int, len(balancers))
	for _, s := range slots {
		best := -1
		for i := range balancers {
			if counts[i] < share && (best < 0 || key.Mix(seeds[i]^s.hash) > key.Mix(seeds[best]^s.hash)) {
				best = i
			}
		}
		counts[best]++
		a.assigned[balancers[best]][s.upstream]++
	}
	return a
}

func sortedSlots(upstreams []Upstream) []slot {
	var slots []slot
	for _, u := range upstreams {
		for i := range u.Slots {
			slots = append(slots, slot{upstream: u.Name, hash: key.Mix(xxhash.Sum64String(u.Name) + uint64(i))})
		}
	}
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Compare(a.hash, b.hash) })
	return slots
}

// Slots returns the number of an upstream's slots that are assigned to a balancer.
func (a Assignment) Slots(balancer, upstream string) int { return a.assigned[balancer][upstream] }
