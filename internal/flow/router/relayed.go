package router

import (
	"net/netip"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/wire/relay"
)

// Relayed routes a packet that another balancer sent.
func (r *Router) Relayed(now time.Time, datagram []byte, out *effect.List) {
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
	case h.Has(relay.HasEntry):
		r.relayedEntry(now, &h, hash, slot, packet, out)
	case h.Has(relay.Missed):
		r.relayedMiss(now, hash, slot, packet, out)
	case h.Has(relay.Asking):
		r.relayedAsk(now, &h, hash, slot, packet, out)
	default:
		r.relayedPacket(now, &h, hash, slot, packet, out)
	}
}

// relayedEntry takes a copy of the flow and passes the packet on.
func (r *Router) relayedEntry(now time.Time, h *relay.Header, hash uint64, slot int, packet []byte, out *effect.List) {
	c := record{key: r.parser.Key, state: table.State(h.State), target: h.Target, fromFirst: r.isFirst(slot, h.Origin)}
	e := r.learn(now, c, hash, slot)
	if e == nil {
		// No room for a copy: the flow goes on with one copy fewer.
		r.forward(h, r.targets.intern(h.Target), packet, out)
		return
	}
	at := r.seconds(now)
	e.LastCopied = at
	r.observe(e, at)
	r.forward(h, e.Upstream, packet, out)
}

// learn merges a flow told by another member and returns its entry, or nil when full.
func (r *Router) learn(now time.Time, c record, hash uint64, slot int) *table.Entry {
	at := r.seconds(now)
	index := r.targets.intern(c.target)
	if e := r.table.Find(c.key, hash); e != nil {
		r.merge(e, c, index)
		return e
	}
	e, err := r.table.Insert(table.Entry{
		Key: c.key, State: c.state, CopyPackets: copyStrikes, Upstream: index,
		LastSeen: at, LastCopied: at, Version: r.versions[slot],
	}, hash, at)
	if err != nil {
		r.Counters.TableFull++
		return nil
	}
	r.count(e, 1)
	return e
}

// merge settles two views of one flow: the first rank's goes before others', an
// opening yields to what is further, and a closed flow yields to a new opening.
func (r *Router) merge(e *table.Entry, c record, index uint32) {
	if e.Upstream == index {
		if c.state > e.State {
			r.table.SetState(e, c.state)
		}
		return
	}
	newer := c.state == table.Opening && e.State == table.Closing
	further := c.state > e.State && c.state != table.Closing
	if !c.fromFirst && !newer && !further {
		r.Counters.Conflicts++
		return
	}
	r.count(e, -1)
	e.Upstream = index
	r.table.SetState(e, c.state)
	r.count(e, 1)
}

// relayedPacket serves a packet that a balancer without the flow passed on.
func (r *Router) relayedPacket(now time.Time, h *relay.Header, hash uint64, slot int, packet []byte, out *effect.List) {
	e := r.table.Find(r.parser.Key, hash)
	if e != nil && (r.mayServe(e, slot, now) || h.Hops >= hopLimit) {
		r.serve(now, e, slot, packet, nil, out)
		return
	}
	r.miss(now, hash, slot, packet, h.Hops, out)
}

// relayedAsk answers a first rank that lacks the flow: with the flow, through
// it, or by asking the next member.
func (r *Router) relayedAsk(now time.Time, h *relay.Header, hash uint64, slot int, packet []byte, out *effect.List) {
	e := r.table.Find(r.parser.Key, hash)
	reopens := e != nil && r.parser.Opening && e.State == table.Closing
	doubtful := e != nil && r.doubtful(e, slot, now) && !h.AtEnd()
	if doubtful && !h.Has(relay.Doubted) {
		// Others may know better; if none does, this entry is the flow's.
		h.Flags |= relay.Doubted
		h.AddHop(r.settings.Address)
	}
	if e != nil && !reopens && !doubtful {
		origin := h.Origin
		r.serve(now, e, slot, packet, &origin, out)
		return
	}
	if next, ok := h.NextHop(); ok {
		r.send(h, next, packet, out)
		return
	}
	origin := h.Origin
	h.Flags = relay.Missed
	r.send(h, origin, packet, out)
}

// relayedMiss is the answer that no member asked holds the flow.
func (r *Router) relayedMiss(now time.Time, hash uint64, slot int, packet []byte, out *effect.List) {
	if e := r.table.Find(r.parser.Key, hash); e != nil {
		r.serve(now, e, slot, packet, nil, out)
		return
	}
	r.lost(now, hash, slot, packet, out)
}

func (r *Router) isFirst(slot int, a netip.AddrPort) bool {
	c := r.ownership.Copies(slot)
	return len(c) > 0 && r.peerOf(c[0]) == a
}

// peerOf returns the address of a member by its index.
func (r *Router) peerOf(i uint16) netip.AddrPort { return r.ownership.Member(i).Address }
