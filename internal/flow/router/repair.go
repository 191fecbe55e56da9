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
	// BatchKind and BatchAckKind are the first bytes of repair datagrams.
	BatchKind    = 3
	BatchAckKind = 4

	batchHeaderSize = 5
	recordSize      = key.Size + 1 + relay.TargetSize
	maxBatchRecords = 36
	retransmitAfter = 500 * time.Millisecond
	// maxScan bounds the array slots of the table that are scanned in one tick.
	maxScan = 1 << 16
)

// record is a copy of a flow received from another member.
type record struct {
	key    key.Key
	state  table.State
	target relay.Target
	// fromOwner is set if the sender owns the flow's slot.
	fromOwner bool
}

// batch is a repair datagram that is not acknowledged yet.
type batch struct {
	to   netip.AddrPort
	data []byte
	sent time.Time
}

// repair scans the table and sends the flows of dirty slots, whose replicas have changed, to the
// other replicas.
type repair struct {
	dirty    [ownership.Slots]bool
	anyDirty bool
	// position is the next array slot to scan; scanned is set at the end of the table.
	position   int
	scanned    bool
	lastNumber uint32
	unacked    map[uint32]*batch
	// pending holds the incomplete batch of each member.
	pending map[netip.AddrPort][]byte
	// budget is the number of bytes that may be sent now.
	budget int
}

func (p *repair) markDirty(slot int) {
	p.dirty[slot] = true
	p.anyDirty = true
}

func (p *repair) isDirty(slot int) bool { return p.dirty[slot] }

// restart starts a new scan and discards all batches: their receivers may have left.
func (p *repair) restart() {
	p.position = 0
	p.scanned = false
	p.unacked = map[uint32]*batch{}
	p.pending = map[netip.AddrPort][]byte{}
}

func (p *repair) done() bool {
	return !p.anyDirty
}

// Repaired reports whether no repair is pending.
func (r *Router) Repaired() bool { return r.repair.done() }

// Tick expires flows and sends repair batches within the byte budget.
func (r *Router) Tick(now time.Time, out *effect.List) {
	r.expire(now)
	p := &r.repair
	if !p.anyDirty {
		return
	}
	p.budget = min(p.budget+r.settings.RepairBytes, 4*r.settings.RepairBytes)
	r.retransmit(now, out)
	r.scan(now, out)
	if p.scanned {
		r.flushAll(now, out)
	}
	if p.scanned && len(p.unacked) == 0 {
		p.dirty = [ownership.Slots]bool{}
		p.anyDirty = false
	}
}

func (r *Router) retransmit(now time.Time, out *effect.List) {
	for _, number := range slices.Sorted(maps.Keys(r.repair.unacked)) {
		b := r.repair.unacked[number]
		if now.Sub(b.sent) < retransmitAfter || r.repair.budget < len(b.data) {
			continue
		}
		b.sent = now
		r.sendBatch(b, out)
	}
}

func (r *Router) sendBatch(b *batch, out *effect.List) {
	r.repair.budget -= len(b.data)
	r.Counters.RepairBytes += uint64(len(b.data))
	out.Add(effect.Effect{Kind: effect.ToPeer, To: b.to, Data: b.data})
}

// scan collects the flows of dirty slots in table order.
func (r *Router) scan(now time.Time, out *effect.List) {
	p := &r.repair
	for range maxScan {
		if p.budget <= 0 || p.scanned {
			return
		}
		if p.position >= r.table.Capacity() {
			p.scanned = true
			return
		}
		e := r.table.At(p.position)
		p.position++
		if e != nil {
			r.collect(now, e, out)
		}
	}
}

// collect adds a flow to the batches of its other replicas, unless enough packets have already
// copied the flow.
func (r *Router) collect(now time.Time, e *table.Entry, out *effect.List) {
	slot := ownership.Slot(e.Key.Hash())
	if !r.repair.isDirty(slot) {
		return
	}
	if e.Version == r.versions[slot] && e.CopyPackets >= requiredCopyPackets {
		return
	}
	for _, i := range r.ownership.Replicas(slot) {
		if r.ownership.IsSelf(i) {
			continue
		}
		r.appendRecord(now, r.memberAddress(i), e, out)
	}
	e.Version = r.versions[slot]
	e.CopyPackets = requiredCopyPackets
	r.Counters.CopiedByTrickle++
}

func (r *Router) appendRecord(now time.Time, to netip.AddrPort, e *table.Entry, out *effect.List) {
	p := &r.repair
	b := p.pending[to]
	if b == nil {
		b = make([]byte, batchHeaderSize, batchHeaderSize+maxBatchRecords*recordSize)
	}
	b = e.Key.Append(b)
	b = append(b, uint8(e.State))
	b = relay.AppendTarget(b, r.targets.at(e.Upstream))
	p.pending[to] = b
	if len(b) >= batchHeaderSize+maxBatchRecords*recordSize {
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
	if len(data) <= batchHeaderSize {
		return
	}
	p.lastNumber++
	data[0] = BatchKind
	binary.BigEndian.PutUint32(data[1:], p.lastNumber)
	b := &batch{to: to, data: data, sent: now}
	p.unacked[p.lastNumber] = b
	r.sendBatch(b, out)
}

// HandleBatch stores the flows of another balancer's repair batch and acknowledges it.
func (r *Router) HandleBatch(now time.Time, from netip.AddrPort, datagram []byte, out *effect.List) {
	if len(datagram) < batchHeaderSize || (len(datagram)-batchHeaderSize)%recordSize != 0 {
		r.Counters.Malformed++
		return
	}
	for b := datagram[batchHeaderSize:]; len(b) > 0; b = b[recordSize:] {
		c := record{
			key: key.Decode(b), state: table.State(b[key.Size]),
			target: relay.DecodeTarget(b[key.Size+1:]),
		}
		hash := c.key.Hash()
		r.store(now, c, hash, ownership.Slot(hash))
	}
	ack := append([]byte{BatchAckKind}, datagram[1:batchHeaderSize]...)
	out.Add(effect.Effect{Kind: effect.ToPeer, To: from, Data: ack})
}

// HandleBatchAck handles the acknowledgement of a batch.
func (r *Router) HandleBatchAck(from netip.AddrPort, datagram []byte) {
	if len(datagram) != batchHeaderSize {
		r.Counters.Malformed++
		return
	}
	number := binary.BigEndian.Uint32(datagram[1:])
	if b := r.repair.unacked[number]; b != nil && b.to == from {
		delete(r.repair.unacked, number)
	}
}

// expiryTicks is the number of ticks in which the whole table is scanned for expired flows.
const expiryTicks = 64

// expire removes flows that have timed out, and flows of which this balancer is no longer a
// replica.
func (r *Router) expire(now time.Time) {
	nowSeconds := r.seconds(now)
	n := max(r.table.Capacity()/expiryTicks, 1)
	for range n {
		r.expiryPosition = (r.expiryPosition + 1) % r.table.Capacity()
		e := r.table.At(r.expiryPosition)
		if e != nil && r.expired(e, nowSeconds) {
			r.remove(e)
		}
	}
}

func (r *Router) expired(e *table.Entry, nowSeconds uint32) bool {
	idle := nowSeconds - e.LastSeen
	switch e.State {
	case table.Opening:
		return idle > uint32(r.settings.OpeningTimeout/time.Second)
	case table.Closing:
		return idle > uint32(r.settings.ClosingTimeout/time.Second)
	}
	slot := ownership.Slot(e.Key.Hash())
	if !r.ownership.IsReplica(slot) && !r.unsettled(slot, nowSeconds) && !r.repair.isDirty(slot) {
		return true
	}
	return idle > uint32(r.settings.IdleTimeout/time.Second)
}
