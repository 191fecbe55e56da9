package cookie

import (
	"slices"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/overload/waiting"
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
	// arrived is when it reached this VM.
	arrived time.Time
}

func (e earlyPacket) key() earlyKey {
	return earlyKey{flow: e.packet.Flow(), opening: e.packet.Opening, sequence: e.packet.Sequence}
}

// keep keeps a packet until the voters have told what it takes to place it.
func (b *Balancer) keep(now, arrived time.Time, p router.Packet, data []byte) {
	e := earlyPacket{packet: p, data: slices.Clone(data), arrived: arrived}
	b.early.Keep(now, arrived, e.key(), e)
}

// placeKept tries to place packets that were kept: early ones once more is known, and
// those that wait for room at their upstream as there is some; the lock is held.
func (b *Balancer) placeKept(now time.Time, kept *waiting.Waiting[earlyKey, earlyPacket]) {
	if kept.Len() == 0 {
		return
	}
	b.used = 0
	kept.Take(now, func(arrived time.Time, e earlyPacket) { b.placeOrWait(now, arrived, e) })
	if err := b.socket.Flush(); err != nil {
		b.sendFailed(err)
	}
}

// placeOrWait places a packet that was kept, unless its upstream has no room for it yet.
func (b *Balancer) placeOrWait(now, arrived time.Time, e earlyPacket) {
	if b.router.HasRoom(now, e.packet) {
		b.carryOut(now, arrived, e.packet, e.data)
		return
	}
	b.crowded.Keep(now, arrived, e.key(), e)
}
