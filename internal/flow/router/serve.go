package router

import (
	"net/netip"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/wire/relay"
)

// copyStrikes is the packets sent through the copies before they count as made:
// one may be lost on the way.
const copyStrikes = 2

// serve sends a packet of a held flow on, through the copies where they may lack it.
//
// force names a member that lacks the flow and must take a copy first.
func (r *Router) serve(now time.Time, e *table.Entry, slot int, packet []byte, force *netip.AddrPort, out *effect.List) {
	at := r.seconds(now)
	if e.State == table.Closing && r.parser.Opening {
		r.reopen(now, e, slot, packet, out)
		return
	}
	viaCopies := r.mustCopy(e, slot, at)
	r.observe(e, at)
	if force == nil && !viaCopies {
		r.toUpstream(e.Upstream, packet, out)
		return
	}
	h := relay.Header{Flags: relay.HasEntry, State: uint8(e.State), Target: r.targets.at(e.Upstream), Origin: r.settings.Address}
	if force != nil {
		h.AddHop(*force)
	}
	for _, i := range r.ownership.Copies(slot) {
		m := r.ownership.Member(i)
		if r.ownership.IsSelf(i) || force != nil && m.Address == *force {
			continue
		}
		if r.unreachable[m.Address] {
			// The packet would be lost there; later ones bring the copy.
			e.CopyPackets = 0
			continue
		}
		h.AddHop(m.Address)
	}
	r.Counters.CopiedByPacket++
	r.forward(&h, e.Upstream, packet, out)
}

// mustCopy says whether this packet has to go through the flow's copies: while
// they may lack the flow, when it opens, is confirmed or closes, and now and
// then so that an idle timeout never takes a copy of a flow that is busy elsewhere.
func (r *Router) mustCopy(e *table.Entry, slot int, at uint32) bool {
	if e.Version != r.versions[slot] {
		e.Version = r.versions[slot]
		e.CopyPackets = 0
	}
	if at-e.LastCopied > uint32(r.settings.IdleTimeout/time.Second)/4 {
		e.CopyPackets = copyStrikes - 1
	}
	confirmed := e.State == table.Opening && r.parser.Confirming
	if !r.parser.Opening && !r.parser.Closing && !confirmed && e.CopyPackets >= copyStrikes {
		return false
	}
	if !r.parser.Opening {
		e.CopyPackets++
	}
	e.LastCopied = at
	return true
}

// observe moves the flow's state on what the packet shows.
func (r *Router) observe(e *table.Entry, at uint32) {
	e.LastSeen = at
	switch {
	case r.parser.Closing:
		r.table.SetState(e, table.Closing)
	case e.State == table.Opening && (r.parser.Confirming || r.parser.Datagram && e.CopyPackets >= copyStrikes):
		r.table.SetState(e, table.Established)
	}
}

// reopen replaces a closed flow whose caller uses its port again.
func (r *Router) reopen(now time.Time, e *table.Entry, slot int, packet []byte, out *effect.List) {
	r.remove(e)
	r.open(now, r.parser.Key.Hash(), slot, packet, out)
}

func (r *Router) remove(e *table.Entry) {
	r.count(e, -1)
	r.table.Remove(e.Key, e.Key.Hash())
}

// forward sends a packet to the next member of its path, or at its end to the upstream.
func (r *Router) forward(h *relay.Header, upstreamIndex uint32, packet []byte, out *effect.List) {
	next, ok := h.NextHop()
	if !ok {
		r.toUpstream(upstreamIndex, packet, out)
		return
	}
	r.send(h, next, packet, out)
}

func (r *Router) send(h *relay.Header, to netip.AddrPort, packet []byte, out *effect.List) {
	r.head = h.Append(r.head[:0])
	out.Build(effect.ToPeer, to, r.head, packet)
}

// toUpstream is the only way out to an upstream, and checks that the address
// still belongs to the flow's service: one handed to another service since
// would get packets that are not meant for it.
func (r *Router) toUpstream(index uint32, packet []byte, out *effect.List) {
	t := r.targets.at(index)
	if r.targets.foreign(index) {
		r.Counters.Foreign++
		return
	}
	out.Build(effect.ToUpstream, t.AddrPort(), r.gue[:], packet)
}
