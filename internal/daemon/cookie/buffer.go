package cookie

import (
	"slices"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/overload/pending"
)

// packetKey identifies a buffered packet; a retransmission has the same key and replaces
// the earlier copy.
type packetKey struct {
	flow     router.Flow
	opening  bool
	sequence uint32
}

// bufferedPacket is a packet that waits to be placed.
type bufferedPacket struct {
	packet router.Packet
	data   []byte
	// arrived is when the packet reached this VM's socket.
	arrived time.Time
}

func (e bufferedPacket) key() packetKey {
	return packetKey{flow: e.packet.Flow(), opening: e.packet.Opening, sequence: e.packet.Sequence}
}

// bufferPacket buffers a packet until voters have sent the state needed to place it.
func (b *Balancer) bufferPacket(now, arrived time.Time, p router.Packet, data []byte) {
	e := bufferedPacket{packet: p, data: slices.Clone(data), arrived: arrived}
	b.unplaced.Add(now, arrived, e.key(), e)
}

// placeBuffered tries to place the packets of a buffer: those of unplaced when more state is known,
// those of awaitingCapacity when upstreams may have capacity again. The caller holds the lock.
func (b *Balancer) placeBuffered(now time.Time, buffered *pending.Buffer[packetKey, bufferedPacket]) {
	if buffered.Len() == 0 {
		return
	}
	b.outputsUsed = 0
	buffered.Drain(now, func(arrived time.Time, e bufferedPacket) { b.placeOrDefer(now, arrived, e) })
	if err := b.socket.Flush(); err != nil {
		b.recordSendError(err)
	}
}

// placeOrDefer places a buffered packet, or moves it to awaitingCapacity if the packet's
// upstream has no capacity.
func (b *Balancer) placeOrDefer(now, arrived time.Time, e bufferedPacket) {
	if b.router.MayPlace(now, e.packet) {
		b.routePacket(now, arrived, e.packet, e.data)
		return
	}
	b.awaitingCapacity.Add(now, arrived, e.key(), e)
}
