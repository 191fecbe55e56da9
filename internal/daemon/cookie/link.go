package cookie

import (
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/overload/egress"
	"wasabideal/internal/overload/linkbudget"
	"wasabideal/internal/overload/uplink"
	"wasabideal/internal/wire/rpc"
	"wasabideal/internal/zoneload/report"
)

// datagramOverhead is the size of the headers of UDP and IPv4, and of the frame: header, checksum,
// preamble and gap of Ethernet. On the platform a link of 2 Mbit/s carries 2,450 datagrams of 36 bytes a
// second.
const datagramOverhead = 8 + 20 + 38

// linkKind is the kind of a packet in the metrics of the link.
type linkKind int

const (
	kindOpenings linkKind = iota
	kindRetransmitted
	kindData
	kindAcknowledgements
	kindResets
	kindControl
	kindCount
)

var linkKindNames = [kindCount]string{"Openings", "Retransmitted", "Data", "Acknowledgements", "Resets", "Control"}

// link decides which new flows the VM's narrow link can carry, and accounts its packets.
type link struct {
	budget *linkbudget.Link
	// egress is the queue of the outgoing direction, and dropped counts the packets that were
	// dropped before it was full.
	egress  *egress.Link
	dropped metrics.Counter
	// control counts the bytes of control messages; countedIn and countedOut are those already
	// added to the budget.
	control               rpc.Traffic
	countedIn, countedOut int64
	// updated is when the budget was last updated.
	updated time.Time
	// address and class are the latest result of classOf, for the configuration revision. Most
	// packets are looked up twice, when they arrive and when they are forwarded.
	address  netip.AddrPort
	class    configuration.Class
	revision uint64
	// rejectedSinceLog and droppedSinceLog are the numbers of openings rejected and of packets
	// dropped since logged, the time of the last line.
	rejectedSinceLog, droppedSinceLog int
	logged                            time.Time
	rejected                          metrics.Counter
	// bytes are the counted bytes by direction and kind. Those since the last read of the metrics
	// are in unread: packets would otherwise pay for two atomic additions each.
	bytes  [2][kindCount]metrics.Counter
	unread [2][kindCount]int
}

// newLink returns nil if the decision is disabled or the link is wide.
func newLink(s Settings, r metrics.Registry) *link {
	if !s.SharedLoad || !uplink.NeedsPacing(s.LinkBytesPerSecond) || s.Off.Has(mechanism.LinkAdmission) {
		return nil
	}
	l := &link{
		budget:   linkbudget.New(s.LinkBytesPerSecond),
		egress:   egress.New(s.LinkBytesPerSecond),
		dropped:  metrics.NewRegisteredCounter("LinkPacketsDroppedTotal", r),
		rejected: metrics.NewRegisteredCounter("FlowsRejectedLinkTotal", r),
	}
	for k, name := range linkKindNames {
		l.bytes[linkbudget.In][k] = metrics.NewRegisteredCounter("LinkBytesIn"+name+"Total", r)
		l.bytes[linkbudget.Out][k] = metrics.NewRegisteredCounter("LinkBytesOut"+name+"Total", r)
	}
	return l
}

// controlTraffic returns the counter of control messages, nil if they are not counted.
func (l *link) controlTraffic() *rpc.Traffic {
	if l == nil {
		return nil
	}
	return &l.control
}

// recordOther records bytes that belong to no flow admitted here.
func (l *link) recordOther(now time.Time, d linkbudget.Direction, k linkKind, size int) {
	l.unread[d][k] += size
	l.budget.RecordOther(now, d, size)
}

// recordControl records the control messages since the last call.
func (l *link) recordControl(now time.Time) {
	in, out := l.control.Bytes()
	if in > l.countedIn {
		l.recordOther(now, linkbudget.In, kindControl, int(in-l.countedIn))
	}
	if out > l.countedOut {
		l.recordOther(now, linkbudget.Out, kindControl, int(out-l.countedOut))
		l.egress.Sent(now, int(out-l.countedOut))
	}
	l.countedIn, l.countedOut = in, out
}

// budgetClass returns the class of flows in the link's budget.
func budgetClass(c configuration.Class) linkbudget.Class {
	switch c {
	case configuration.Idempotent:
		return linkbudget.Idempotent
	case configuration.Unrepeatable:
		return linkbudget.Unrepeatable
	case configuration.Upload:
		return linkbudget.Upload
	case configuration.Download:
		return linkbudget.Download
	default:
		return linkbudget.Other
	}
}

// linkKindOf returns the kind of a caller's packet.
func linkKindOf(p *router.Packet, v *router.Verdict) linkKind {
	switch {
	case v.Retransmitted || v.Reason == router.Repeated || p.Opening && p.Copy > 0:
		return kindRetransmitted
	case p.Opening:
		return kindOpenings
	case p.Reset:
		return kindResets
	case p.Length > 0:
		return kindData
	default:
		return kindAcknowledgements
	}
}

// classOf returns the class of the route with the address.
func (b *Balancer) classOf(address netip.AddrPort) configuration.Class {
	l := b.link
	if revision := b.router.Revision(); l.address != address || l.revision != revision {
		l.address, l.class, l.revision = address, b.router.Class(address), revision
	}
	return l.class
}

// recordOnLink records a caller's packet in one direction; length is the size of the datagram. The
// pointers save a copy for each packet.
func (b *Balancer) recordOnLink(now time.Time, d linkbudget.Direction, p *router.Packet, v *router.Verdict, length int) {
	l := b.link
	if l == nil {
		return
	}
	size := length + datagramOverhead
	class := b.classOf(p.Address)
	switch {
	case b.uploads != nil && p.Length > 0 && class == configuration.Upload:
		l.unread[d][linkKindOf(p, v)] += size
		l.budget.RecordPaced(now, d, size)
	case v.Reason == router.Placed || v.OpenedHere && !v.Retransmitted:
		l.unread[d][linkKindOf(p, v)] += size
		l.budget.RecordAdmitted(now, d, budgetClass(class), size)
	default:
		l.recordOther(now, d, linkKindOf(p, v), size)
	}
}

// recordMalformed records a datagram that is no packet.
func (b *Balancer) recordMalformed(now time.Time, length int) {
	if b.link != nil {
		b.link.budget.RecordOther(now, linkbudget.In, length+datagramOverhead)
	}
}

// maySend reports whether the link can carry an outgoing datagram; length is its size. Otherwise the
// datagram must be dropped.
func (b *Balancer) maySend(now time.Time, v *router.Verdict, length int) bool {
	l := b.link
	if l == nil {
		return true
	}
	kind := egress.Ordinary
	if v.Reason == router.Repeated {
		kind = egress.RetransmittedOpening
	}
	if !b.router.Settled(now) {
		l.egress.Sent(now, length+datagramOverhead)
		return true
	}
	if l.egress.Send(now, kind, length+datagramOverhead) {
		return true
	}
	l.dropped.Inc(1)
	l.droppedSinceLog++
	return false
}

// recordReset records a reset that is sent to a caller.
func (b *Balancer) recordReset(now time.Time, length int) {
	if b.link != nil {
		b.link.recordOther(now, linkbudget.Out, kindResets, length+datagramOverhead)
	}
}

// recordPacedSent records a packet that the pacing of uploads sends.
func (b *Balancer) recordPacedSent(now time.Time, length int) {
	if b.link != nil {
		b.link.unread[linkbudget.Out][kindData] += length + datagramOverhead
		b.link.budget.RecordPaced(now, linkbudget.Out, length+datagramOverhead)
		b.link.egress.Sent(now, length+datagramOverhead)
	}
}

// updateLink adds control messages and the measured delay to the link's budget, and tells the router
// whether missing answers say anything about upstreams.
func (b *Balancer) updateLink(now time.Time) {
	l := b.link
	if l == nil || now.Equal(l.updated) {
		return
	}
	l.updated = now
	l.recordControl(now)
	if base, known := b.router.BaseHandshake(now); known {
		l.budget.RecordBase(base)
	}
	if delay, known := b.router.LinkDelay(now); known {
		l.budget.RecordMeasured(now, delay)
	}
	l.budget.RecordCompleted(b.router.LatestCompleted())
	l.budget.RecordPending(now)
	b.router.SetLinkDelayed(l.budget.Delayed(now))
}

// checkLink reports whether the link cannot carry the flow that a packet opens, and returns the verdict
// if so. While the router is not settled, all callers return at once after an outage: rejections made
// 666 instead of 234 of their requests fail. An opening of a flow that is stored here is always forwarded, since its upstream may have
// answered. Uploads are admitted by the pacing instead.
func (b *Balancer) checkLink(now time.Time, p router.Packet) (router.Verdict, bool) {
	l := b.link
	if l == nil || !p.Opening {
		return router.Verdict{}, false
	}
	b.updateLink(now)
	if !b.router.Settled(now) || !l.budget.MayReject(now) || !l.budget.Rejects(now, linkbudget.Flow{Class: budgetClass(b.classOf(p.Address))}) {
		// Most openings end here, without the look-ups that the tier needs.
		return router.Verdict{}, false
	}
	f, isNew := b.router.NewFlow(now, p)
	if !isNew || b.uploads != nil && f.Class == configuration.Upload {
		return router.Verdict{}, false
	}
	if !l.budget.Rejects(now, linkbudget.Flow{Class: budgetClass(f.Class), Urgent: f.Urgent}) {
		return router.Verdict{}, false
	}
	b.router.RecordRejected(now, p)
	l.rejectedSinceLog++
	if p.Copy == 0 {
		l.rejected.Inc(1)
	}
	v := b.busyVerdict(p)
	v.LinkDelay = l.budget.Delay(now)
	return v, true
}

// admitToLink adds the bytes of a flow that was placed.
func (b *Balancer) admitToLink(now time.Time, p router.Packet, v router.Verdict) {
	if b.link != nil && v.Reason == router.Placed {
		b.link.budget.Admit(now, budgetClass(b.classOf(p.Address)))
	}
}

// linkState returns the state of the link for load reports. The caller holds the lock.
func (b *Balancer) linkState() report.Link {
	if b.link == nil {
		return report.Link{}
	}
	now := b.settings.Clock()
	return report.Link{Use: b.link.budget.Use(now), Delay: b.link.budget.Delay(now)}
}

// logLinkAdmission logs the state of the link once a second while openings are rejected.
func (b *Balancer) logLinkAdmission(now time.Time) {
	l := b.link
	if l == nil || l.rejectedSinceLog+l.droppedSinceLog == 0 || now.Sub(l.logged) < summaryInterval {
		return
	}
	state := b.linkState()
	b.log.Info("link admission", "Rejected", l.rejectedSinceLog, "Dropped", l.droppedSinceLog, "LinkDelay", state.Delay.String(), "Use", state.Use)
	l.logged, l.rejectedSinceLog, l.droppedSinceLog = now, 0, 0
}

// setLinkMetrics sets the gauges of the link and updates its counters. The caller holds the lock.
func (b *Balancer) setLinkMetrics(set func(name string, v int)) {
	if b.link == nil {
		return
	}
	for d := range b.link.unread {
		for k, n := range b.link.unread[d] {
			b.link.bytes[d][k].Inc(int64(n))
		}
	}
	b.link.unread = [2][kindCount]int{}
	state := b.linkState()
	set("LinkDelayMilliseconds", int(state.Delay.Milliseconds()))
	set("LinkUsePercent", int(state.Use*100))
}
