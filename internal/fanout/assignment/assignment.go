package assignment

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/fanout/rendezvous"
)

const (
	// maxPropagation is how long a change of the balancer list takes to reach all balancers: four
	// levels of the tree, at each of which a poll is held for at most 0.8 s.
	maxPropagation = 3200 * time.Millisecond
	// overlap is how long a list stays valid after its successor arrived. A balancer owns a key
	// only if all valid lists assign the key to it. overlap is twice maxPropagation: a balancer
	// that leaves and rejoins may receive the later list first and keep its keys, while other
	// balancers may receive that list another maxPropagation later.
	overlap = 2 * maxPropagation
	// startupGrace is how long a balancer owns no keys after its start. Restarted voters learn
	// the members of the fleet from reports every 5 s. Until then, their lists hold only a few
	// balancers and would assign all keys to them.
	startupGrace = 6 * time.Second
)

// list is a balancer list that arrived at the time since, as sorted hashes of the addresses.
type list struct {
	since   time.Time
	members []uint64
}

// Assignment decides which keys one balancer owns. It must be used by one goroutine only.
//
// A key belongs to the balancer with the highest rendezvous weight, so that a balancer that joins
// or leaves moves only its own keys. If the lists of two balancers differ for longer than
// overlap, both may own the same key for a while.
type Assignment struct {
	self    uint64
	started time.Time
	lists   []list
	// known holds the addresses last passed to Set.
	known []string
}

// New returns the assignment of a balancer that starts at now. self is the address by which the
// lists name it.
func New(now time.Time, self string) *Assignment {
	return &Assignment{self: xxhash.Sum64String(self), started: now}
}

// Set sets the addresses of the zone's known balancers.
func (a *Assignment) Set(now time.Time, addresses []string) {
	if len(a.lists) > 0 && slices.Equal(a.known, addresses) {
		return
	}
	a.known = addresses
	members := make([]uint64, len(addresses))
	for i, x := range addresses {
		members[i] = xxhash.Sum64String(x)
	}
	slices.Sort(members)
	if last := len(a.lists) - 1; last >= 0 && slices.Equal(a.lists[last].members, members) {
		return
	}
	a.lists = append(a.lists, list{since: now, members: members})
	// A list stays valid for the overlap after its successor arrived.
	for len(a.lists) > 1 && now.Sub(a.lists[1].since) >= overlap {
		a.lists = a.lists[1:]
	}
}

// Owns reports whether this balancer owns a key under all lists that other balancers may still use.
func (a *Assignment) Owns(now time.Time, key uint64) bool {
	if now.Sub(a.started) < startupGrace || len(a.lists) == 0 {
		return false
	}
	for i, l := range a.lists {
		if i+1 < len(a.lists) && now.Sub(a.lists[i+1].since) >= overlap {
			continue
		}
		if l.owner(key) != a.self {
			return false
		}
	}
	return true
}

// owner returns the balancer that a key belongs to, or 0 if the list is empty.
func (l list) owner(key uint64) uint64 {
	best, owner := uint64(0), uint64(0)
	for _, m := range l.members {
		if h := rendezvous.Weight(m, key); owner == 0 || h > best {
			best, owner = h, m
		}
	}
	return owner
}
