package ownership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/flow/key"
)

const (
	slotBits = 12
	// Slots is the number of hash slots.
	Slots = 1 << slotBits
	// maxLookups bounds the members that are queried if the owner does not store a flow.
	maxLookups = 8
	// replicaCount is the number of replicas of a slot.
	replicaCount = 3
)

// Member is a balancer that may store flows.
type Member struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// Start distinguishes the incarnations of a balancer: a restarted balancer stores no flows.
	Start uint64
	// Passive members are joining or leaving. They may store flows, but are not replicas.
	Passive bool
}

// Ownership is an immutable ranking of the members in every slot.
type Ownership struct {
	members []Member
	self    int
	slots   []ranking
	// zoneShares holds, by zone, the share of the slots that the zone's members own. It is
	// computed once, because every change of a pool needs it.
	zoneShares map[string]float64
}

// ranking ranks the members for one slot. members[:length] are the indices of the members to
// query for a flow, in order, and members[:replicas] those of the slot's replicas.
type ranking struct {
	members  [maxLookups]uint16
	length   uint8
	replicas uint8
}

// New ranks the members; self is the name of the local balancer.
func New(members []Member, self string) *Ownership {
	ms := slices.Clone(members)
	slices.SortFunc(ms, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	o := &Ownership{members: ms, slots: make([]ranking, Slots)}
	o.self = slices.IndexFunc(ms, func(m Member) bool { return m.Name == self })
	b := newBuilder(ms)
	for slot := range o.slots {
		o.slots[slot] = b.rank(uint64(slot))
	}
	o.zoneShares = o.countZoneShares()
	return o
}

// score is a member's rendezvous hash in one slot; the zero score belongs to no member.
type score struct {
	value uint64
	index uint16
	known bool
}

func (s score) above(o score) bool { return !o.known || s.value > o.value }

// builder ranks the members for one slot after another without further allocations. It finds the
// best members in one pass: when it sorted all members, a membership change in a group of 178
// took 164 ms.
type builder struct {
	members []Member
	seeds   []uint64
	zones   []int
	// zoneBest holds the highest-scoring active member of each zone, and top the three
	// highest-scoring active members of all zones.
	zoneBest []score
	top      [replicaCount]score
	// passive is the passive member with the highest score.
	passive score
}

func newBuilder(ms []Member) *builder {
	b := &builder{members: ms, seeds: make([]uint64, len(ms)), zones: make([]int, len(ms))}
	numbers := map[string]int{}
	for i, m := range ms {
		b.seeds[i] = xxhash.Sum64String(m.Name)
		if _, ok := numbers[m.Zone]; !ok {
			numbers[m.Zone] = len(numbers)
		}
		b.zones[i] = numbers[m.Zone]
	}
	b.zoneBest = make([]score, len(numbers))
	return b
}

// rank returns the replicas of a slot and the further members to query for its flows.
func (b *builder) rank(slot uint64) ranking {
	b.scan(key.Mix(slot))
	var r ranking
	b.addReplicas(&r)
	r.replicas = r.length
	for _, s := range b.top {
		r.add(s)
	}
	b.addZones(&r)
	r.add(b.passive)
	return r
}

// scan finds the best members of all zones, the best member of each zone, and the best passive
// member.
func (b *builder) scan(mixed uint64) {
	clear(b.zoneBest)
	b.top = [replicaCount]score{}
	b.passive = score{}
	for i, seed := range b.seeds {
		s := score{value: key.Mix(seed ^ mixed), index: uint16(i), known: true}
		if b.members[i].Passive {
			if s.above(b.passive) {
				b.passive = s
			}
			continue
		}
		if z := b.zones[i]; s.above(b.zoneBest[z]) {
			b.zoneBest[z] = s
		}
		b.insert(s)
	}
}

func (b *builder) insert(s score) {
	for d := range b.top {
		if s.above(b.top[d]) {
			copy(b.top[d+1:], b.top[d:])
			b.top[d] = s
			return
		}
	}
}

func (r *ranking) add(s score) {
	if !s.known || int(r.length) == maxLookups || slices.Contains(r.members[:r.length], s.index) {
		return
	}
	r.members[r.length] = s.index
	r.length++
}

// addReplicas adds the three best members. If they are all in one zone, the best member of
// another zone replaces the third.
func (b *builder) addReplicas(r *ranking) {
	for _, s := range b.top[:replicaCount-1] {
		r.add(s)
	}
	last := b.top[replicaCount-1]
	if r.length == replicaCount-1 && b.sameZone(r) && last.known && b.zones[last.index] == b.zones[r.members[0]] {
		if other := b.bestOutside(b.zones[r.members[0]]); other.known {
			last = other
		}
	}
	r.add(last)
}

func (b *builder) sameZone(r *ranking) bool { return b.zones[r.members[0]] == b.zones[r.members[1]] }

func (b *builder) bestOutside(zone int) score {
	var other score
	for z, s := range b.zoneBest {
		if z != zone && s.known && s.above(other) {
			other = s
		}
	}
	return other
}

// addZones adds the best member of every zone, the highest score first. After a partition,
// flows opened on the other side are stored by the best members of the zones there.
func (b *builder) addZones(r *ranking) {
	slices.SortFunc(b.zoneBest, func(x, y score) int { return cmp.Compare(y.value, x.value) })
	for _, s := range b.zoneBest {
		r.add(s)
	}
}

// Slot returns the slot of a flow's hash.
func Slot(hash uint64) int { return int(hash >> (64 - slotBits)) }

// Members returns all members, ordered by name.
func (o *Ownership) Members() []Member { return o.members }

// Replicas returns the indices of the slot's replicas. The owner is the first.
func (o *Ownership) Replicas(slot int) []uint16 {
	r := &o.slots[slot]
	return r.members[:r.replicas]
}

// LookupOrder returns the indices of the members to query for a flow. The replicas come first.
func (o *Ownership) LookupOrder(slot int) []uint16 {
	r := &o.slots[slot]
	return r.members[:r.length]
}

// Member returns the member with an index from Replicas or LookupOrder.
func (o *Ownership) Member(i uint16) Member { return o.members[i] }

// IsSelf reports whether the index belongs to the local balancer.
func (o *Ownership) IsSelf(i uint16) bool { return int(i) == o.self }

// IsOwner reports whether the local balancer owns the slot.
func (o *Ownership) IsOwner(slot int) bool {
	replicas := o.Replicas(slot)
	return len(replicas) > 0 && o.IsSelf(replicas[0])
}

// IsReplica reports whether the local balancer is a replica of the slot.
func (o *Ownership) IsReplica(slot int) bool {
	return slices.ContainsFunc(o.Replicas(slot), o.IsSelf)
}

// ZoneShares returns the share of all flows that the members of each zone own. Callers must
// not modify the map.
func (o *Ownership) ZoneShares() map[string]float64 { return o.zoneShares }

func (o *Ownership) countZoneShares() map[string]float64 {
	shares := map[string]float64{}
	for slot := range o.slots {
		if replicas := o.Replicas(slot); len(replicas) > 0 {
			shares[o.members[replicas[0]].Zone] += 1.0 / Slots
		}
	}
	return shares
}

// SameReplicas reports whether a slot has the same replicas in o and p, and none of them has
// restarted in between.
func (o *Ownership) SameReplicas(p *Ownership, slot int) bool {
	a, b := o.Replicas(slot), p.Replicas(slot)
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		m, n := o.members[a[i]], p.members[b[i]]
		if m.Name != n.Name || m.Start != n.Start {
			return false
		}
	}
	return true
}

// MustRepair reports whether the local balancer copies the slot's flows to its new replicas. The
// first former replica in the new lookup order copies them. If that order has no former replica,
// all former replicas copy them, because lookups would not find the flows that only these members
// store.
func (o *Ownership) MustRepair(before *Ownership, slot int) bool {
	for _, i := range o.LookupOrder(slot) {
		m := o.members[i]
		wasReplica := slices.ContainsFunc(before.Replicas(slot), func(j uint16) bool {
			n := before.members[j]
			return n.Name == m.Name && n.Start == m.Start
		})
		if wasReplica {
			return o.IsSelf(i)
		}
	}
	return before.IsReplica(slot)
}
