package cookie

import (
	"net/netip"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/cookie/uplink"
	"wasabideal/internal/model/configuration"
)

// packetOverhead is what a forwarded packet takes on the link beside its data:
// the packet's head, the incarnation before it, and UDP and IPv4.
const packetOverhead = 36 + 8 + 28

// leastPause bounds how often the pacing wakes up; some packets leave together
// then, which no queue notices.
const leastPause = 4 * time.Millisecond

// outgoing is a packet that waits for its turn on the link.
type outgoing struct {
	to   netip.AddrPort
	data []byte
}

// uploads paces uploads over the VM's link.
type uploads struct {
	link *uplink.Uplink[router.Flow, outgoing]
	wake chan struct{}
}

func newUploads(bytesPerSecond float64) *uploads {
	return &uploads{link: uplink.New[router.Flow, outgoing](bytesPerSecond), wake: make(chan struct{}, 1)}
}

// decide routes a packet, but turns an upload away at its opening when the link
// is busy with others: the caller's next try reaches another balancer.
func (b *Balancer) decide(now time.Time, p router.Packet) router.Verdict {
	if b.uploads == nil || b.router.Class(p.Address) != configuration.Upload {
		return b.router.Route(now, p)
	}
	k := p.Flow()
	if p.Opening && !b.uploads.link.Admit(now, k) {
		return router.Verdict{Action: router.Reset, Reason: router.Busy, Revision: b.router.Revision()}
	}
	if p.Finish || p.Reset {
		b.uploads.link.Leave(k)
	}
	return b.router.Route(now, p)
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
	select {
	case b.uploads.wake <- struct{}{}:
	default:
	}
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
	if err := b.socket.Flush(); err != nil {
		b.sendFailed(err)
	}
	return b.uploads.link.Wait(now)
}
