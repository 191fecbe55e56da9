package cookie

import (
	"errors"
	"net"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/wire/datagram"
)

// read takes datagrams in batches and decides on each batch under one lock.
func (b *Balancer) read() {
	for {
		n, err := b.socket.Read()
		if b.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The kernel may report what befell an earlier datagram; a balancer
			// that stopped reading for it would stay in rotation and serve nothing.
			b.log.Error("datagrams cannot be read", "Error", err)
			time.Sleep(readPause)
			continue
		}
		b.mu.Lock()
		now := b.settings.Clock()
		b.lastPacket = now
		b.used = 0
		for i := range n {
			_, data := b.socket.Datagram(i)
			b.handle(now, i, data)
		}
		if err := b.socket.Flush(); err != nil {
			b.sendFailed(err)
		}
		b.placeKept(now, b.crowded)
		b.tellVoters()
		b.mu.Unlock()
	}
}

func (b *Balancer) handle(now time.Time, index int, data []byte) {
	p, err := b.settings.Codec.Decode(data)
	if err != nil {
		b.counts.malformed.Inc(1)
		b.reports.malformed(err)
		return
	}
	if b.crowded.Len() > 0 {
		// The copy that waits would look like a repetition, and so like silence.
		b.crowded.Remove(earlyPacket{packet: p}.key())
	}
	arrived := now
	if p.Opening {
		arrived = now.Add(-b.socket.Waited(now, index))
	}
	b.carryOut(now, arrived, p, data)
}

// carryOut decides on a packet that arrived at a time, and does it.
func (b *Balancer) carryOut(now, arrived time.Time, p router.Packet, data []byte) {
	p.Waited = now.Sub(arrived)
	v := b.decide(now, p, data)
	if v.Action == router.Drop && v.Reason.Early() && !b.settings.Off.Has(mechanism.KeptPackets) {
		b.keep(now, arrived, p, data)
		b.coldWaits = b.coldWaits || v.Reason == router.Cold
	}
	b.perform(now, p, data, v)
}

// perform does what was decided on a packet.
func (b *Balancer) perform(now time.Time, p router.Packet, data []byte, v router.Verdict) {
	b.counts.decisions[v.Reason].Inc(1)
	b.reports.note(b.log, p, v)
	switch v.Action {
	case router.Forward:
		if b.delayed(now, p, v, data) {
			return
		}
		b.notePacket(now, len(data))
		*b.buffer() = b.settings.Codec.Forward((*b.buffer())[:0], data, v)
		b.socket.Queue(v.To, *b.buffer())
		b.used++
	case router.Reset:
		to, out := b.settings.Codec.Reset((*b.buffer())[:0], p)
		*b.buffer() = out
		b.socket.Queue(to, out)
		b.used++
	case router.Drop:
	}
}

// flowReset notes that the router resets a flow that may be open; the lock is held.
func (b *Balancer) flowReset(x router.FlowReset) {
	b.counts.flowsReset[x.Reason].Inc(1)
	b.reports.reset(b.settings.Clock(), b.log, x)
}

func (b *Balancer) sendFailed(err error) {
	b.counts.sendErrors.Inc(1)
	b.reports.lost(err)
}

// buffer returns the next free one of this batch.
func (b *Balancer) buffer() *[]byte {
	if b.used == len(b.buffers) {
		b.buffers = append(b.buffers, make([]byte, 0, datagram.Size+forwardHead))
	}
	return &b.buffers[b.used]
}
