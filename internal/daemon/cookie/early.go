package cookie

import (
	"slices"
	"time"

	"wasabideal/internal/cookie/router"
)

// earlyKey tells packets apart that are worth keeping beside each other: a
// repeated one takes the place of the first.
type earlyKey struct {
	flow     router.Flow
	opening  bool
	sequence uint32
}

type earlyPacket struct {
	packet router.Packet
	data   []byte
}

// keep keeps a packet until the voters have told what it takes to place it.
func (b *Balancer) keep(now, arrived time.Time, p router.Packet, data []byte) {
	k := earlyKey{flow: p.Flow(), opening: p.Opening, sequence: p.Sequence}
	b.early.Keep(now, arrived, k, earlyPacket{packet: p, data: slices.Clone(data)})
}

// placeEarly tries to place the packets kept; the lock is held.
func (b *Balancer) placeEarly(now time.Time) {
	if b.early.Len() == 0 {
		return
	}
	b.used = 0
	b.early.Take(now, func(arrived time.Time, e earlyPacket) {
		if !b.router.HasRoom(now, e.packet) {
			b.keep(now, arrived, e.packet, e.data)
			return
		}
		b.carryOut(now, arrived, e.packet, e.data)
	})
	if err := b.socket.Flush(); err != nil {
		b.sendFailed(err)
	}
}
