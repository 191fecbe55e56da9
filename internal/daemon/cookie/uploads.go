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

// packetOverhead is what a forwarded packet takes on the link beside its data:
// the packet's head, the incarnation before it, and UDP and IPv4.
const packetOverhead = 36 + 8 + 28

// forwardedOverhead is what a forwarded packet takes on the link beside what was received:
// the incarnation before it, and UDP and IPv4.
const forwardedOverhead = 8 + 28

// leastPause bounds how often the pacing wakes up; some packets leave together
// then, which no queue notices.
const leastPause = 4 * time.Millisecond

// outgoing is a packet that waits for its turn on the link.
type outgoing struct {
	to   netip.AddrPort
	data []byte
}

// linkBusy is the part of the link from which its use is logged: uploads get less from there.
const linkBusy = 0.3

// turnEvery is how often openings that wait are looked at.
const turnEvery = 20 * time.Millisecond

// uploads paces uploads over the VM's link.
type uploads struct {
	link    *uplink.Uplink[router.Flow, outgoing]
	backlog backlog.Backlog[router.Flow, earlyPacket]
	wake    chan struct{}
	// logged is when the link's use was last logged.
	logged time.Time
}

func newUploads(bytesPerSecond float64) *uploads {
	return &uploads{link: uplink.New[router.Flow, outgoing](bytesPerSecond), wake: make(chan struct{}, 1)}
}

// awake lets the pacing look at what waits.
func (u *uploads) awake() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// decide routes a packet. An upload's opening waits a moment when the link is busy
// with others, and is turned away when it stays so: the caller's next try reaches
// another balancer.
func (b *Balancer) decide(now time.Time, p router.Packet, data []byte) router.Verdict {
	if b.uploads == nil || b.router.Class(p.Address) != configuration.Upload {
		return b.router.Route(now, p)
	}
	k := p.Flow()
	if p.Opening && !b.uploads.link.Admit(now, k) {
		return b.wait(now, k, p, data)
	}
	if p.Finish || p.Reset {
		b.uploads.link.Leave(k)
	}
	return b.router.Route(now, p)
}

// notePacket counts a forwarded packet that does not wait for its turn: uploads get what
// such packets leave of the link.
func (b *Balancer) notePacket(now time.Time, length int) {
	if b.uploads != nil {
		b.uploads.link.Other(now, length+forwardedOverhead)
	}
}

// wait lets an upload's opening wait for room on the link, if not too many do.
func (b *Balancer) wait(now time.Time, k router.Flow, p router.Packet, data []byte) router.Verdict {
	v := b.busy(p)
	if !b.settings.Off.Has(mechanism.UploadWait) && b.uploads.backlog.Push(now, k, earlyPacket{packet: p, data: slices.Clone(data), arrived: now.Add(-p.Waited)}) {
		v.Action, v.Reason = router.Drop, router.Waiting
		b.uploads.awake()
	}
	return v
}

// busy returns the verdict on an upload's opening that the link has no room for.
func (b *Balancer) busy(p router.Packet) router.Verdict {
	v := router.Verdict{Action: router.Drop, Reason: router.Busy, Revision: b.router.Revision()}
	if p.Rejectable() {
		v.Action = router.Reset
	}
	return v
}

// turn opens the uploads that there is room for now, and turns those away that
// waited too long.
func (b *Balancer) turn(now time.Time) {
	if b.uploads.backlog.Len() == 0 {
		return
	}
	admitted, late := b.uploads.backlog.Turn(now, func(k router.Flow) bool { return b.uploads.link.Admit(now, k) })
	b.used = 0
	for _, e := range admitted {
		b.carryOut(now, e.arrived, e.packet, e.data)
	}
	for _, e := range late {
		e.packet.Waited = now.Sub(e.arrived)
		b.perform(now, e.packet, e.data, b.busy(e.packet))
	}
}

// delayed takes an upload's packet that has to wait for its turn on the link.
func (b *Balancer) delayed(now time.Time, p router.Packet, v router.Verdict, data []byte) bool {
	if b.uploads == nil || p.Length == 0 || b.router.Class(p.Address) != configuration.Upload {
		return false
	}
	out := b.settings.Codec.Forward(make([]byte, 0, len(data)+forwardHead), data, v)
	b.uploads.link.Offer(now, uplink.Packet[router.Flow, outgoing]{
		Flow: p.Flow(), Sequence: p.Sequence, Length: p.Length,
		Size: p.Length + packetOverhead, Payload: outgoing{to: v.To, data: out},
	})
	b.uploads.awake()
	return true
}

// pace sends the packets that waited for their turn.
func (b *Balancer) pace() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-b.uploads.wake:
		}
		for {
			pause, waits := b.sendDue()
			if !waits {
				break
			}
			time.Sleep(max(pause, leastPause))
		}
	}
}

func (b *Balancer) sendDue() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.settings.Clock()
	for {
		p, due := b.uploads.link.Due(now)
		if !due {
			break
		}
		b.socket.Queue(p.Payload.to, p.Payload.data)
	}
	b.turn(now)
	if err := b.socket.Flush(); err != nil {
		b.sendFailed(err)
	}
	pause, waits := b.uploads.link.Wait(now)
	if b.uploads.backlog.Len() == 0 {
		return pause, waits
	}
	if !waits {
		pause = turnEvery
	}
	return min(pause, turnEvery), true
}

// logLink logs once a second how a link is used of which other packets than uploads' take
// more than linkBusy.
func (b *Balancer) logLink(now time.Time) {
	if b.uploads == nil || now.Sub(b.uploads.logged) < reportEvery {
		return
	}
	b.uploads.logged = now
	link := b.uploads.link
	if others := link.Others(now); others > linkBusy*b.settings.LinkBytesPerSecond {
		b.log.Info("link busy", "OthersBytesPerSecond", int(others), "Uploads", link.Active(now), "UploadsMost", link.Limit(now),
			"UploadsWaiting", b.uploads.backlog.Len())
	}
}
