package cookie

import (
	"net/netip"
	"slices"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/overload/backlog"
	"wasabideal/internal/overload/uplink"
)

// packetOverhead is the size of a forwarded packet without its data: the headers of the
// packet, the incarnation, and the headers of UDP and IPv4.
const packetOverhead = 36 + 8 + 28

// forwardedOverhead is what forwarding adds to a received packet: the incarnation, and the
// headers of UDP and IPv4.
const forwardedOverhead = 8 + 28

// minPacingPause is the minimum time between two rounds of pacing. The packets of a round
// are sent together, in bursts too small to matter to queues on the path.
const minPacingPause = 4 * time.Millisecond

// outgoing is a packet that is queued for the link.
type outgoing struct {
	to   netip.AddrPort
	data []byte
}

// busyLinkShare is the share of the link's bandwidth used by unpaced packets above which the
// usage is logged. Above that share, uploads get less bandwidth.
const busyLinkShare = 0.3

// admitInterval is how often queued openings are checked for admission.
const admitInterval = 20 * time.Millisecond

// uploads paces uploads over the VM's link.
type uploads struct {
	link    *uplink.Pacer[router.Flow, outgoing]
	backlog backlog.Backlog[router.Flow, bufferedPacket]
	wake    chan struct{}
	// logged is when the link's usage was last logged.
	logged time.Time
}

func newUploads(bytesPerSecond float64) *uploads {
	return &uploads{link: uplink.New[router.Flow, outgoing](bytesPerSecond), wake: make(chan struct{}, 1)}
}

// wakePacing wakes the pacing goroutine.
func (u *uploads) wakePacing() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// routeOrQueue routes a packet. If the link is busy with other uploads, an upload's opening is
// queued briefly. If the link stays busy, the opening is rejected, and the caller's next attempt
// reaches another balancer.
func (b *Balancer) routeOrQueue(now time.Time, p router.Packet, data []byte) router.Verdict {
	if b.uploads == nil || b.router.Class(p.Address) != configuration.Upload {
		return b.router.Route(now, p)
	}
	k := p.Flow()
	if p.Opening && !b.uploads.link.Admit(now, k) {
		return b.queueOpening(now, k, p, data)
	}
	if p.Finish || p.Reset {
		b.uploads.link.Remove(k)
	}
	return b.router.Route(now, p)
}

// recordUnpaced records the size of a forwarded packet that is not paced. Uploads get the bandwidth
// that such packets leave.
func (b *Balancer) recordUnpaced(now time.Time, length int) {
	if b.uploads != nil {
		b.uploads.link.RecordOther(now, length+forwardedOverhead)
	}
}

// queueOpening queues an upload's opening until the link has capacity, unless the queue is
// full.
func (b *Balancer) queueOpening(now time.Time, k router.Flow, p router.Packet, data []byte) router.Verdict {
	v := b.busyVerdict(p)
	if !b.settings.Off.Has(mechanism.UploadWait) && b.uploads.backlog.Push(now, k, bufferedPacket{packet: p, data: slices.Clone(data), arrived: now.Add(-p.Waited)}) {
		v.Action, v.Reason = router.Drop, router.Waiting
		b.uploads.wakePacing()
	}
	return v
}

// busyVerdict returns the verdict on an upload's opening that exceeds the link's capacity.
func (b *Balancer) busyVerdict(p router.Packet) router.Verdict {
	v := router.Verdict{Action: router.Drop, Reason: router.Busy, Revision: b.router.Revision()}
	if p.Rejectable() {
		v.Action = router.Reset
	}
	return v
}

// admitWaiting admits the queued openings that the link has capacity for, and rejects the
// openings that waited too long.
func (b *Balancer) admitWaiting(now time.Time) {
	if b.uploads.backlog.Len() == 0 {
		return
	}
	admitted, late := b.uploads.backlog.Dispatch(now, func(k router.Flow) bool { return b.uploads.link.Admit(now, k) })
	b.outputsUsed = 0
	for _, e := range admitted {
		b.routePacket(now, e.arrived, e.packet, e.data)
	}
	for _, e := range late {
		e.packet.Waited = now.Sub(e.arrived)
		b.execute(now, e.packet, e.data, b.busyVerdict(e.packet))
	}
}

// enqueueUpload queues a packet for pacing if the packet carries data of an upload, and reports
// whether the packet was queued.
func (b *Balancer) enqueueUpload(now time.Time, p router.Packet, v router.Verdict, data []byte) bool {
	if b.uploads == nil || p.Length == 0 || b.router.Class(p.Address) != configuration.Upload {
		return false
	}
	out := b.settings.Codec.Forward(make([]byte, 0, len(data)+forwardHeadroom), data, v)
	b.uploads.link.Enqueue(now, uplink.Packet[router.Flow, outgoing]{
		Flow: p.Flow(), Sequence: p.Sequence, Length: p.Length,
		Size: p.Length + packetOverhead, Payload: outgoing{to: v.To, data: out},
	})
	b.uploads.wakePacing()
	return true
}

// runPacing sends queued packets as they become due.
func (b *Balancer) runPacing() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-b.uploads.wake:
		}
		for {
			pause, queued := b.sendDue()
			if !queued {
				break
			}
			time.Sleep(max(pause, minPacingPause))
		}
	}
}

// sendDue sends the packets that are due and admits queued openings. It returns the time
// until the next round, and false if nothing is queued.
func (b *Balancer) sendDue() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.settings.Clock()
	for {
		p, due := b.uploads.link.Dequeue(now)
		if !due {
			break
		}
		b.recordPacedSent(now, len(p.Payload.data))
		b.socket.Queue(p.Payload.to, p.Payload.data)
	}
	b.admitWaiting(now)
	if err := b.socket.Flush(); err != nil {
		b.recordSendError(err)
	}
	pause, queued := b.uploads.link.NextDelay(now)
	if b.uploads.backlog.Len() == 0 {
		return pause, queued
	}
	if !queued {
		pause = admitInterval
	}
	return min(pause, admitInterval), true
}

// logLink logs the link's usage once a second while the packets that are not paced use more
// than busyLinkShare of the bandwidth.
func (b *Balancer) logLink(now time.Time) {
	if b.uploads == nil || now.Sub(b.uploads.logged) < summaryInterval {
		return
	}
	b.uploads.logged = now
	link := b.uploads.link
	if others := link.OtherRate(now); others > busyLinkShare*b.settings.LinkBytesPerSecond {
		b.log.Info("link busy", "OthersBytesPerSecond", int(others), "Uploads", link.Active(now), "UploadsMost", link.Limit(now),
			"UploadsWaiting", b.uploads.backlog.Len())
	}
}
