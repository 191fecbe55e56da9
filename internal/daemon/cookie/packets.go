package cookie

import (
	"errors"
	"net"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/overload/linkbudget"
	"wasabideal/internal/wire/datagram"
)

// read receives datagrams in batches and processes each batch under one lock.
func (b *Balancer) read() {
	for {
		n, err := b.socket.Read()
		if b.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error may concern a datagram that was sent earlier. A balancer that
			// stopped reading would stay in rotation without serving any packets.
			b.log.Error("failed to read datagrams", "Error", err)
			time.Sleep(readErrorDelay)
			continue
		}
		b.mu.Lock()
		now := b.settings.Clock()
		b.lastPacket = now
		b.outputsUsed = 0
		for i := range n {
			_, data := b.socket.Datagram(i)
			b.handle(now, i, data)
		}
		if err := b.socket.Flush(); err != nil {
			b.recordSendError(err)
		}
		b.placeBuffered(now, b.awaitingCapacity)
		b.sendReports()
		b.mu.Unlock()
	}
}

func (b *Balancer) handle(now time.Time, index int, data []byte) {
	p, err := b.settings.Codec.Decode(data)
	if err != nil {
		b.counts.malformed.Inc(1)
		b.recordMalformed(now, len(data))
		b.decisionLog.malformed(err)
		return
	}
	if b.awaitingCapacity.Len() > 0 {
		// If a buffered copy of this packet were routed later, the copy would count as a
		// retransmission and thus as evidence that the upstream is unresponsive.
		b.awaitingCapacity.Remove(bufferedPacket{packet: p}.key())
	}
	arrived := now
	if p.Opening {
		arrived = now.Add(-b.socket.QueueDelay(now, index))
	}
	v := b.routePacket(now, arrived, p, data)
	b.recordOnLink(now, linkbudget.In, &p, &v, len(data))
}

// routePacket routes a packet with its time of arrival, buffers it if it may be placed
// soon, and executes and returns the verdict.
func (b *Balancer) routePacket(now, arrived time.Time, p router.Packet, data []byte) router.Verdict {
	p.Waited = now.Sub(arrived)
	v, rejected := b.checkLink(now, p)
	if !rejected {
		v = b.routeOrQueue(now, p, data)
		b.admitToLink(now, p, v)
	}
	if v.Action == router.Drop && v.Reason.Temporary() && !b.settings.Off.Has(mechanism.KeptPackets) {
		b.bufferPacket(now, arrived, p, data)
		b.retryUnplaced = b.retryUnplaced || v.Reason == router.Cold || v.Reason == router.NewUpstream
	}
	b.execute(now, p, data, v)
	return v
}

// execute counts, logs and carries out the verdict on a packet.
func (b *Balancer) execute(now time.Time, p router.Packet, data []byte, v router.Verdict) {
	b.counts.decisions[v.Reason].Inc(1)
	if v.SlotLimit > 0 {
		b.counts.rejectedUse.Inc(1)
	}
	if v.Zone != "" {
		b.counts.flowsSpilled.Inc(1)
	}
	b.decisionLog.record(b.log, p, v)
	switch v.Action {
	case router.Forward:
		if b.enqueueUpload(now, p, v, data) {
			return
		}
		b.recordUnpaced(now, len(data))
		*b.output() = b.settings.Codec.Forward((*b.output())[:0], data, v)
		if !b.maySend(now, &v, len(*b.output())) {
			return
		}
		b.recordOnLink(now, linkbudget.Out, &p, &v, len(*b.output()))
		b.socket.Queue(v.To, *b.output())
		b.outputsUsed++
	case router.Reset:
		to, out := b.settings.Codec.Reset((*b.output())[:0], p)
		*b.output() = out
		if !b.maySend(now, &v, len(out)) {
			return
		}
		b.recordReset(now, len(out))
		b.socket.Queue(to, out)
		b.outputsUsed++
	case router.Drop:
	}
}

// recordFlowReset counts and logs the reset of a flow that may be open. The caller holds the
// lock.
func (b *Balancer) recordFlowReset(x router.FlowReset) {
	b.counts.flowsReset[x.Reason].Inc(1)
	b.decisionLog.reset(b.settings.Clock(), b.log, x)
}

func (b *Balancer) recordSendError(err error) {
	b.counts.sendErrors.Inc(1)
	b.decisionLog.sendFailure(err)
}

// output returns the next free output buffer of this batch.
func (b *Balancer) output() *[]byte {
	if b.outputsUsed == len(b.outputs) {
		b.outputs = append(b.outputs, make([]byte, 0, datagram.BufferSize+forwardHeadroom))
	}
	return &b.outputs[b.outputsUsed]
}
