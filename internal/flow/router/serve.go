package router

import (
	"net/netip"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/wire/relay"
)

// requiredCopyPackets is the number of packets relayed through the replicas after which the
// replicas are assumed to store the flow. One packet is not enough, since it may be lost.
const requiredCopyPackets = 2

// serve sends a packet of a stored flow to its upstream, through the replicas if they may lack
// the flow. requester, if set, is a member that looked up the flow and does not store it; the
// packet is first relayed to that member.
func (r *Router) serve(now time.Time, e *table.Entry, slot int, packet []byte, requester *netip.AddrPort, out *effect.List) {
	nowSeconds := r.seconds(now)
	if e.State == table.Closing && r.parser.Opening {
		r.reopen(now, e, slot, packet, out)
		return
	}
	viaReplicas := r.mustCopy(e, slot, nowSeconds)
	r.observe(e, nowSeconds)
	if requester == nil && !viaReplicas {
		r.toUpstream(e.Upstream, packet, out)
		return
	}
	h := relay.Header{Flags: relay.FlagHasEntry, State: uint8(e.State), Target: r.targets.at(e.Upstream), Origin: r.settings.Address}
	if requester != nil {
		h.AddHop(*requester)
	}
	for _, i := range r.ownership.Replicas(slot) {
		m := r.ownership.Member(i)
		if r.ownership.IsSelf(i) || requester != nil && m.Address == *requester {
			continue
		}
		if r.unreachable[m.Address] {
			// A packet through an unreachable replica would be lost. CopyPackets restarts, so
			// that packets copy the flow to the replica once it is reachable.
			e.CopyPackets = 0
			continue
		}
		h.AddHop(m.Address)
	}
	r.Counters.CopiedByPacket++
	r.forward(&h, e.Upstream, packet, out)
}

// mustCopy reports whether a packet must be relayed through the flow's replicas. This is so if
// they may lack the flow, or if the packet opens, confirms or closes the flow. Packets of an
// active flow are also relayed at times, so that the idle timeout does not remove its copies.
// mustCopy counts the packet in the entry if the result is true.
func (r *Router) mustCopy(e *table.Entry, slot int, nowSeconds uint32) bool {
	if e.Version != r.versions[slot] {
		e.Version = r.versions[slot]
		e.CopyPackets = 0
	}
	if nowSeconds-e.LastCopied > uint32(r.settings.IdleTimeout/time.Second)/4 {
		e.CopyPackets = requiredCopyPackets - 1
	}
	confirmed := e.State == table.Opening && r.parser.Acknowledges
	if !r.parser.Opening && !r.parser.Closing && !confirmed && e.CopyPackets >= requiredCopyPackets {
		return false
	}
	if !r.parser.Opening {
		e.CopyPackets++
	}
	e.LastCopied = nowSeconds
	return true
}

// observe updates the flow's state according to the packet.
func (r *Router) observe(e *table.Entry, nowSeconds uint32) {
	e.LastSeen = nowSeconds
	switch {
	case r.parser.Closing:
		r.table.SetState(e, table.Closing)
	case e.State == table.Opening && (r.parser.Acknowledges || r.parser.Datagram && e.CopyPackets >= requiredCopyPackets):
		r.table.SetState(e, table.Established)
	}
}

// reopen replaces a closed flow whose caller reuses its port.
func (r *Router) reopen(now time.Time, e *table.Entry, slot int, packet []byte, out *effect.List) {
	r.remove(e)
	r.open(now, r.parser.Key.Hash(), slot, packet, out)
}

func (r *Router) remove(e *table.Entry) {
	r.addLoad(e, -1)
	r.table.Remove(e.Key, e.Key.Hash())
}

// forward sends a packet to the next member of its path, or to the upstream if there is none.
func (r *Router) forward(h *relay.Header, upstreamIndex uint32, packet []byte, out *effect.List) {
	next, ok := h.NextHop()
	if !ok {
		r.toUpstream(upstreamIndex, packet, out)
		return
	}
	r.send(h, next, packet, out)
}

func (r *Router) send(h *relay.Header, to netip.AddrPort, packet []byte, out *effect.List) {
	r.header = h.Append(r.header[:0])
	out.AddCopy(effect.ToPeer, to, r.header, packet)
}

// toUpstream sends a packet to an upstream; no other function does. It drops the packet if the
// upstream's address has been reassigned to another service.
func (r *Router) toUpstream(index uint32, packet []byte, out *effect.List) {
	t := r.targets.at(index)
	if r.targets.isReassigned(index) {
		r.Counters.Foreign++
		return
	}
	out.AddCopy(effect.ToUpstream, t.AddrPort(), r.gue[:], packet)
}
