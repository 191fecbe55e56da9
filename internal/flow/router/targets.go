package router

import (
	"net/netip"

	"wasabideal/internal/flow/key"
	"wasabideal/internal/wire/relay"
)

type target = relay.Target

// targets maps upstream identities to indices, so that a flow's entry needs only four bytes.
type targets struct {
	list  []relay.Target
	index map[relay.Target]uint32
	// loads are the numbers of flows that this balancer owns, per target.
	loads []int32
	// addressServices are the services that the addresses currently belong to.
	addressServices map[netip.AddrPort]uint32
	// reassigned holds, per target, whether its address now belongs to another service.
	reassigned []bool
}

func newTargets() targets {
	return targets{index: map[relay.Target]uint32{}, addressServices: map[netip.AddrPort]uint32{}}
}

// intern returns the index of a target, which it adds if necessary.
func (t *targets) intern(x relay.Target) uint32 {
	if i, ok := t.index[x]; ok {
		return i
	}
	i := uint32(len(t.list))
	t.list = append(t.list, x)
	t.index[x] = i
	t.loads = append(t.loads, 0)
	t.reassigned = append(t.reassigned, t.computeReassigned(x))
	return i
}

func (t *targets) at(i uint32) relay.Target { return t.list[i] }

// add adds to the number of flows of a target.
func (t *targets) add(i uint32, by int32) {
	t.loads[i] += by
}

func (t *targets) clearLoads() { clear(t.loads) }

func (t *targets) setAddressServices(addressServices map[netip.AddrPort]string) {
	t.addressServices = make(map[netip.AddrPort]uint32, len(addressServices))
	for a, name := range addressServices {
		t.addressServices[a] = ServiceHash(name)
	}
	for i, x := range t.list {
		t.reassigned[i] = t.computeReassigned(x)
	}
}

// computeReassigned reports whether the target's address is known to belong to another service.
func (t *targets) computeReassigned(x relay.Target) bool {
	h, known := t.addressServices[x.AddrPort()]
	return known && h != x.Service
}

// isReassigned returns the stored result of computeReassigned for a target index.
func (t *targets) isReassigned(i uint32) bool { return t.reassigned[i] }

// seedOf hashes a target for the selection of upstreams. The result is the same on every
// balancer.
func seedOf(x relay.Target) uint64 {
	address := uint64(x.Address[0])<<40 | uint64(x.Address[1])<<32 | uint64(x.Address[2])<<24 |
		uint64(x.Address[3])<<16 | uint64(x.Port)
	return key.Mix(key.Mix(address) ^ uint64(x.Service))
}
