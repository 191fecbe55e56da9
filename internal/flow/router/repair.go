package router

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/key"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/wire/relay"
)

const (
	// BatchKind and BatchAckKind are the first bytes of the trickle's datagrams.
	BatchKind    = 3
	BatchAckKind = 4

	batchHead   = 5
	recordSize  = key.Size + 1 + relay.TargetSize
	batchLimit  = 36
	resendAfter = 500 * time.Millisecond
	// scanLimit bounds the array slots looked at in one tick.
	scanLimit = 1 << 16
)

// record is one flow as the trickle carries it.
type record struct {
	key    key.Key
	state  table.State
	target relay.Target
	// fromFirst is set when the slot's first rank tells the flow.
	fromFirst bool
}

type batch struct {
	to   netip.AddrPort
	data []byte
	sent time.Time
}

// repair walks the table and copies flows of the wanted slots to their copies.
type repair struct {
	dirty    [ownership.Slots]bool
	any      bool
	position int
	wrapped  bool
	number   uint32
	unacked  map[uint32]*batch
	pending  map[netip.AddrPort][]byte
	budget   int
}

func (p *repair) want(slot int) {
	p.dirty[slot] = true
	p.any = true
}

func (p *repair) wants(slot int) bool { return p.dirty[slot] }

// restart scans from the beginning; batches under way to members that may be gone are dropped.
func (p *repair) restart() {
	p.position = 0
	p.wrapped = false
	p.unacked = map[uint32]*batch{}
	p.pending = map[netip.AddrPort][]byte{}
}

func (p *repair) done() bool {
	return !p.any
}

// Repaired says whether every flow held here has its copies as far as is known.
func (r *Router) Repaired() bool { return r.repair.done() }

// Tick expires flows and trickles copies within the byte budget.
func (r *Router) Tick(now time.Time, out *effect.List) {
	r.expire(now)
	p := &r.repair
	if !p.any {
		return
	}
	p.budget = min(p.budget+r.settings.RepairBytes, 4*r.settings.RepairBytes)
	r.resend(now, out)
	r.scan(now, out)
	if p.wrapped {
		r.flushAll(now, out)
	}
	if p.wrapped && len(p.unacked) == 0 {
		p.dirty = [ownership.Slots]bool{}
		p.any = false
	}
}

func (r *Router) resend(now time.Time, out *effect.List) {
	for _, number := range slices.Sorted(maps.Keys(r.repair.unacked)) {
		b := r.repair.unacked[number]
		if now.Sub(b.sent) < resendAfter || r.repair.budget < len(b.data) {
			continue
		}
		b.sent = now
		r.spend(b, out)
	}
}

func (r *Router) spend(b *batch, out *effect.List) {
	r.repair.budget -= len(b.data)
	r.Counters.RepairBytes += uint64(len(b.data))
	out.Add(effect.Effect{Kind: effect.ToPeer, To: b.to, Data: b.data})
}

// scan collects the flows of dirty slots, those with packets not yet copied first come first.
func (r *Router) scan(now time.Time, out *effect.List) {
	p := &r.repair
	for range scanLimit {
		if p.budget <= 0 || p.wrapped {
			return
		}
		if p.position >= r.table.Capacity() {
			p.wrapped = true
			return
		}
		e := r.table.At(p.position)
		p.position++
		if e != nil {
			r.collect(now, e, out)
		}
	}
}

func (r *Router) collect(now time.Time, e *table.Entry, out *effect.List) {
	slot := ownership.Slot(e.Key.Hash())
	if !r.repair.wants(slot) {
		return
	}
	if e.Version == r.versions[slot] && e.CopyPackets >= copyStrikes {
		return
	}
	for _, i := range r.ownership.Copies(slot) {
		if r.ownership.IsSelf(i) {
			continue
		}
		r.collectFor(now, r.peerOf(i), e, out)
	}
	e.Version = r.versions[slot]
	e.CopyPackets = copyStrikes
	r.Counters.CopiedByTrickle++
}

func (r *Router) collectFor(now time.Time, to netip.AddrPort, e *table.Entry, out *effect.List) {
	p := &r.repair
	b := p.pending[to]
	if b == nil {
		b = make([]byte, batchHead, batchHead+batchLimit*recordSize)
	}
	b = e.Key.Append(b)
	b = append(b, uint8(e.State))
	b = relay.AppendTarget(b, r.targets.at(e.Upstream))
	p.pending[to] = b
	if len(b) >= batchHead+batchLimit*recordSize {
		r.flush(now, to, out)
	}
}

func (r *Router) flushAll(now time.Time, out *effect.List) {
	for _, to := range slices.SortedFunc(maps.Keys(r.repair.pending), netip.AddrPort.Compare) {
		r.flush(now, to, out)
	}
}

func (r *Router) flush(now time.Time, to netip.AddrPort, out *effect.List) {
	p := &r.repair
	data := p.pending[to]
	delete(p.pending, to)
	if len(data) <= batchHead {
		return
	}
	p.number++
	data[0] = BatchKind
	binary.BigEndian.PutUint32(data[1:], p.number)
	b := &batch{to: to, data: data, sent: now}
	p.unacked[p.number] = b
	r.spend(b, out)
}

// Batch takes copies from another balancer's trickle and acknowledges them.
func (r *Router) Batch(now time.Time, from netip.AddrPort, datagram []byte, out *effect.List) {
	if len(datagram) < batchHead || (len(datagram)-batchHead)%recordSize != 0 {
		r.Counters.Malformed++
		return
	}
	for b := datagram[batchHead:]; len(b) > 0; b = b[recordSize:] {
		c := record{
			key: key.Decode(b), state: table.State(b[key.Size]),
			target: relay.DecodeTarget(b[key.Size+1:]),
		}
		hash := c.key.Hash()
		r.learn(now, c, hash, ownership.Slot(hash))
	}
	ack := append([]byte{BatchAckKind}, datagram[1:batchHead]...)
	out.Add(effect.Effect{Kind: effect.ToPeer, To: from, Data: ack})
}

// BatchAck notes that a batch of copies has arrived.
func (r *Router) BatchAck(from netip.AddrPort, datagram []byte) {
	if len(datagram) != batchHead {
		r.Counters.Malformed++
		return
	}
	number := binary.BigEndian.Uint32(datagram[1:])
	if b := r.repair.unacked[number]; b != nil && b.to == from {
		delete(r.repair.unacked, number)
	}
}

// expirySweep is the share of the table looked at in one tick.
const expirySweep = 64

// expire drops flows that are over, and those that belong elsewhere by now.
func (r *Router) expire(now time.Time) {
	at := r.seconds(now)
	n := max(r.table.Capacity()/expirySweep, 1)
	for range n {
		r.sweep = (r.sweep + 1) % r.table.Capacity()
		e := r.table.At(r.sweep)
		if e != nil && r.expired(e, at) {
			r.remove(e)
		}
	}
}

func (r *Router) expired(e *table.Entry, at uint32) bool {
	idle := at - e.LastSeen
	switch e.State {
	case table.Opening:
		return idle > uint32(r.settings.OpeningTimeout/time.Second)
	case table.Closing:
		return idle > uint32(r.settings.ClosingTimeout/time.Second)
	}
	slot := ownership.Slot(e.Key.Hash())
	if !r.ownership.IsReplica(slot) && !r.unsettled(slot, at) && !r.repair.wants(slot) {
		return true
	}
	return idle > uint32(r.settings.IdleTimeout/time.Second)
}
