package roster

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/flow/key"
	"wasabideal/internal/flow/ownership"
)

// Member is one run of a balancer.
type Member struct {
	Name string
	Zone string
	// Start distinguishes runs: a restarted balancer has lost its idempotency keys.
	Start uint64
	// Rpc is the address of the member's RPC server for idempotency keys.
	Rpc netip.AddrPort
}

// Roster is the replicated list of members, with the previous list until the change is
// settled.
type Roster struct {
	// Version increases with every change, and Epoch increases with every new list.
	Version  uint64
	Epoch    uint64
	Members  []Member
	Previous []Member
}

// Settled reports whether the previous list is no longer in use.
func (r Roster) Settled() bool { return len(r.Previous) == 0 }

// WithMembers returns the roster of the next epoch with a new list; the current roster must
// be settled.
func (r Roster) WithMembers(ms []Member) Roster {
	return Roster{Version: r.Version + 1, Epoch: r.Epoch + 1, Members: ms, Previous: r.Members}
}

// WithSettled returns the roster without the previous list.
func (r Roster) WithSettled() Roster {
	r.Version++
	r.Previous = nil
	return r
}

// Contains reports whether the list contains the same run of the balancer.
func (r Roster) Contains(m Member) bool { return contains(r.Members, m) }

func contains(ms []Member, m Member) bool {
	return slices.ContainsFunc(ms, func(o Member) bool { return o.Name == m.Name && o.Start == m.Start })
}

// View maps keys to the balancers that store them under a roster; it is immutable.
type View struct {
	Roster            Roster
	current, previous *ownership.Ownership
}

// NewView computes the members that store each key under a roster.
func NewView(r Roster) View {
	return View{Roster: r, current: newOwnership(r.Members), previous: newOwnership(r.Previous)}
}

func newOwnership(ms []Member) *ownership.Ownership {
	list := make([]ownership.Member, 0, len(ms))
	for _, m := range ms {
		list = append(list, ownership.Member{Name: m.Name, Zone: m.Zone, Start: m.Start, Address: m.Rpc})
	}
	return ownership.New(list, "")
}

// Slot returns the hash slot of an idempotency key of a service.
func Slot(service, idempotencyKey string) int {
	return ownership.Slot(key.Mix(xxhash.Sum64String(service + "\x00" + idempotencyKey)))
}

// QuorumSets returns the sets of members that store a slot's keys. A claim of a key needs
// a majority of each set.
func (v View) QuorumSets(slot int) [][]Member {
	sets := [][]Member{members(v.current, slot)}
	if !v.Roster.Settled() {
		sets = append(sets, members(v.previous, slot))
	}
	return sets
}

// Current returns the members that store a slot's keys under the new list.
func (v View) Current(slot int) []Member { return members(v.current, slot) }

// Previous returns the members that store a slot's keys under the previous list. There are
// none if the roster is settled.
func (v View) Previous(slot int) []Member { return members(v.previous, slot) }

func members(o *ownership.Ownership, slot int) []Member {
	indices := o.Replicas(slot)
	ms := make([]Member, 0, len(indices))
	for _, i := range indices {
		m := o.Member(i)
		ms = append(ms, Member{Name: m.Name, Zone: m.Zone, Start: m.Start, Rpc: m.Address})
	}
	return ms
}

// Majority returns the number of members that are a majority of a set.
func Majority(set []Member) int { return len(set)/2 + 1 }
