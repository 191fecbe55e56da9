package router

import (
	"net/netip"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/wire/relay"
)

// RouteRelayed routes a packet that another balancer relayed.
func (r *Router) RouteRelayed(now time.Time, datagram []byte, out *effect.List) {
	var h relay.Header
	packet, err := relay.Decode(datagram, &h)
	if err == nil {
		err = r.parser.Parse(packet)
	}
	if err != nil {
		r.Counters.Malformed++
		return
	}
	hash := r.parser.Key.Hash()
	slot := ownership.Slot(hash)
	switch {
	case h.HasFlag(relay.FlagHasEntry):
		r.handleEntry(now, &h, hash, slot, packet, out)
	case h.HasFlag(relay.FlagNotFound):
		r.handleNotFound(now, hash, slot, packet, out)
	case h.HasFlag(relay.FlagLookup):
		r.handleLookup(now, &h, hash, slot, packet, out)
	default:
		r.handlePacket(now, &h, hash, slot, packet, out)
	}
}

// handleEntry stores a copy of the flow and forwards the packet.
func (r *Router) handleEntry(now time.Time, h *relay.Header, hash uint64, slot int, packet []byte, out *effect.List) {
	c := record{key: r.parser.Key, state: table.State(h.State), target: h.Target, fromOwner: r.isOwner(slot, h.Origin)}
	e := r.store(now, c, hash, slot)
	if e == nil {
		// The table is full, so the flow has one copy fewer.
		r.forward(h, r.targets.intern(h.Target), packet, out)
		return
	}
	nowSeconds := r.seconds(now)
	e.LastCopied = nowSeconds
	r.observe(e, nowSeconds)
	r.forward(h, e.Upstream, packet, out)
}

// store merges a flow received from another member and returns its entry, or nil if the table
// is full.
func (r *Router) store(now time.Time, c record, hash uint64, slot int) *table.Entry {
	nowSeconds := r.seconds(now)
	index := r.targets.intern(c.target)
	if e := r.table.Find(c.key, hash); e != nil {
		r.merge(e, c, index)
		return e
	}
	e, err := r.table.Insert(table.Entry{
		Key: c.key, State: c.state, CopyPackets: requiredCopyPackets, Upstream: index,
		LastSeen: nowSeconds, LastCopied: nowSeconds, Version: r.versions[slot],
	}, hash, nowSeconds)
	if err != nil {
		r.Counters.TableFull++
		return nil
	}
	r.addLoad(e, 1)
	return e
}

// merge resolves a conflict between two copies of a flow. The owner's copy prevails. Otherwise,
// an established flow replaces an opening, and a new opening replaces a closed flow.
func (r *Router) merge(e *table.Entry, c record, index uint32) {
	if e.Upstream == index {
		if c.state > e.State {
			r.table.SetState(e, c.state)
		}
		return
	}
	reopened := c.state == table.Opening && e.State == table.Closing
	laterState := c.state > e.State && c.state != table.Closing
	if !c.fromOwner && !reopened && !laterState {
		r.Counters.Conflicts++
		return
	}
	r.addLoad(e, -1)
	e.Upstream = index
	r.table.SetState(e, c.state)
	r.addLoad(e, 1)
}

// handlePacket routes a packet relayed by a balancer that does not store the flow.
func (r *Router) handlePacket(now time.Time, h *relay.Header, hash uint64, slot int, packet []byte, out *effect.List) {
	e := r.table.Find(r.parser.Key, hash)
	if e != nil && (r.mayServe(e, slot, now) || h.Hops >= maxHops) {
		r.serve(now, e, slot, packet, nil, out)
		return
	}
	r.miss(now, hash, slot, packet, h.Hops, out)
}

// handleLookup handles a lookup by an owner that does not store the flow. It sends the packet
// through the owner with a copy of the flow, or forwards the lookup to the next member.
func (r *Router) handleLookup(now time.Time, h *relay.Header, hash uint64, slot int, packet []byte, out *effect.List) {
	e := r.table.Find(r.parser.Key, hash)
	reopens := e != nil && r.parser.Opening && e.State == table.Closing
	unconfirmed := e != nil && r.unconfirmed(e, slot, now) && !h.PathEmpty()
	if unconfirmed && !h.HasFlag(relay.FlagStale) {
		// Another member may have a newer entry and is queried first. If no other member stores
		// the flow, the lookup returns here, and this entry is used.
		h.Flags |= relay.FlagStale
		h.AddHop(r.settings.Address)
	}
	if e != nil && !reopens && !unconfirmed {
		origin := h.Origin
		r.serve(now, e, slot, packet, &origin, out)
		return
	}
	if next, ok := h.NextHop(); ok {
		r.send(h, next, packet, out)
		return
	}
	origin := h.Origin
	h.Flags = relay.FlagNotFound
	r.send(h, origin, packet, out)
}

// handleNotFound handles the response that no queried member stores the flow.
func (r *Router) handleNotFound(now time.Time, hash uint64, slot int, packet []byte, out *effect.List) {
	if e := r.table.Find(r.parser.Key, hash); e != nil {
		r.serve(now, e, slot, packet, nil, out)
		return
	}
	r.routeLost(now, hash, slot, packet, out)
}

// isOwner reports whether the address is that of the slot's owner.
func (r *Router) isOwner(slot int, a netip.AddrPort) bool {
	replicas := r.ownership.Replicas(slot)
	return len(replicas) > 0 && r.memberAddress(replicas[0]) == a
}

// memberAddress returns the address of the member with the given index.
func (r *Router) memberAddress(i uint16) netip.AddrPort { return r.ownership.Member(i).Address }
