package linkbudget

import (
	"math"
	"time"
)

const (
	// drainShare is the part of the bandwidth at which the queues drain. The rest is for packets
	// that are not counted, such as acknowledgements of TCP connections.
	drainShare = 0.95
	// The delays from which openings are rejected. They include the bytes of admitted flows that have
	// not passed yet, which take about two round trips: the queue of the link itself is shorter, and
	// package egress bounds it. Callers retransmit after 200 ms; a handshake and a request pass both
	// directions, so twice urgentDelay and the transit must be less. Ordinary flows leave half of that
	// to urgent ones. Downloads leave half to short requests: their acknowledgements use the link for
	// longer.
	urgentDelay   = 80 * time.Millisecond
	ordinaryDelay = 40 * time.Millisecond
	downloadDelay = 20 * time.Millisecond
	// maxCostShare bounds a flow's own share of the delay. Without the bound, a flow that costs more
	// than its whole limit would be rejected on an idle link. Half of the limit keeps the order of
	// tiers: an urgent flow of any class is admitted wherever an ordinary one is.
	maxCostShare = 0.5
	// initialCost is the assumed number of bytes per flow before any is measured.
	initialCost = 1000
	// costFlows is the number of flows over which the cost is averaged: half a second of new flows
	// on a link of 2 Mbit/s at three quarters of its capacity.
	costFlows = 128
	// maxCost bounds the cost of a flow. While no flow is admitted, packets of open flows increase
	// the average without limit.
	maxCost = 64 << 10
	// useTimeConstant is the time constant of the link's use: long enough to count a few dozen
	// packets on a link of 2 Mbit/s.
	useTimeConstant = 200 * time.Millisecond
	// decayInterval is the time between two decays of the use, which cost an exponential each.
	decayInterval = useTimeConstant / 50
	// minMeasuredUse is the use from which a measured delay counts. A queue on a link of the
	// configured bandwidth needs more, unless a third of the bytes are not counted. Below it,
	// handshakes take longer for other reasons, such as an upstream in another zone.
	minMeasuredUse = 0.7
	// maxMeasuredDelay bounds a measured delay, and exceeds all limits. Handshakes that waited for 2 s
	// complete when the queue is empty. Without the bound, openings would be rejected for 2 s more.
	maxMeasuredDelay = 100 * time.Millisecond
	// unknownBase is the assumed duration of a handshake on an idle link before any is measured: a few
	// round trips between zones.
	unknownBase = 100 * time.Millisecond
	// A pause of minStall without a packet on a link that is mostly used is a pause of the process.
	// The handshakes that it delayed are the shortest ones for stallHold, their window of 100 ms and
	// its granularity, and say nothing about the link.
	minStall  = 20 * time.Millisecond
	stallHold = 125 * time.Millisecond
	// suspectDelay is the delay from which a missing answer says nothing about an upstream: from
	// there on ordinary flows are rejected, and packets of open flows are dropped at times.
	suspectDelay = 40 * time.Millisecond
	// suspectHold is how long the link still counts as delayed. A packet that was queued is
	// retransmitted 200 ms later, and an opening counts as abandoned after 250 ms.
	suspectHold = 250 * time.Millisecond
)

// Direction is a direction of the link, seen from the VM.
type Direction uint8

// The directions of a link.
const (
	In Direction = iota
	Out
	directions
)

// Class groups flows of about the same cost.
type Class uint8

// The classes of flows.
const (
	Idempotent Class = iota
	Unrepeatable
	Upload
	Download
	Other
	classes
)

// Flow describes a new flow.
type Flow struct {
	Class Class
	// Urgent flows are rejected last.
	Urgent bool
}

// limit returns the delay from which the flow is rejected.
func (f Flow) limit() time.Duration {
	switch {
	case f.Urgent:
		return urgentDelay
	case f.Class == Download:
		return downloadDelay
	default:
		return ordinaryDelay
	}
}

// cost holds the bytes of the latest flows of a class. Both sums decay with each admitted flow.
type cost struct {
	flows float64
	bytes [directions]float64
}

func (c *cost) perFlow(d Direction) float64 { return min(c.bytes[d]/c.flows, maxCost) }

// Link is the budget of one link. It is not safe for concurrent use.
type Link struct {
	// bandwidth and drain are in bytes per second.
	bandwidth, drain float64
	costs            [classes]cost
	// queued holds the bytes in the queue of each direction.
	queued [directions]float64
	// drainedIdle is the number of received bytes that the link could have carried, beyond those
	// queued, between the last two times. Bytes that are received now passed the link then.
	drainedIdle float64
	// passed holds the decaying sums of all bytes, from which Use is computed.
	passed  [directions]float64
	updated time.Time
	// undecayed is the time since passed last decayed.
	undecayed time.Duration
	// delayedFor is how long the link still counts as delayed. unmeasuredFor is how long measured
	// delays are ignored.
	delayedFor, unmeasuredFor time.Duration
	openings                  openings
	// base is the duration of a handshake without a queue.
	base time.Duration
}

// New returns the budget of an idle link with the given bandwidth in each direction.
func New(bytesPerSecond float64) *Link {
	l := &Link{bandwidth: bytesPerSecond, drain: drainShare * bytesPerSecond, base: unknownBase}
	for i := range l.costs {
		l.costs[i] = cost{flows: costFlows, bytes: [directions]float64{initialCost * costFlows, initialCost * costFlows}}
	}
	return l
}

// advance drains the queues up to the present time. If the clock went backwards, nothing drains until
// it moves on.
func (l *Link) advance(now time.Time) {
	if now.Equal(l.updated) {
		// Most packets are recorded in batches, twice each.
		return
	}
	elapsed := now.Sub(l.updated)
	l.updated = now
	if elapsed <= 0 {
		return
	}
	drained := elapsed.Seconds() * l.drain
	l.drainedIdle = max(drained-l.queued[In], 0)
	l.queued[In] = max(l.queued[In]-drained, 0)
	l.queued[Out] = max(l.queued[Out]-drained, 0)
	l.delayedFor = max(l.delayedFor-elapsed, 0)
	l.unmeasuredFor = max(l.unmeasuredFor-elapsed, 0)
	if elapsed > minStall {
		l.unmeasuredFor = stallHold
	}
	l.undecayed += elapsed
	if l.undecayed > decayInterval {
		remaining := math.Exp(-l.undecayed.Seconds() / useTimeConstant.Seconds())
		l.passed[In] *= remaining
		l.passed[Out] *= remaining
		l.undecayed = 0
	}
}

// RecordAdmitted records a packet of a flow admitted here. Its bytes were added to the queue when the
// flow was admitted.
func (l *Link) RecordAdmitted(now time.Time, d Direction, c Class, size int) {
	l.RecordPaced(now, d, size)
	l.costs[c].bytes[d] += float64(size)
}

// RecordPaced records a packet that counts for the link's use only. Paced packets yield to all
// others, so they do not add to the queue.
func (l *Link) RecordPaced(now time.Time, d Direction, size int) {
	l.advance(now)
	l.passed[d] += float64(size)
}

// RecordOther records a packet that belongs to no flow admitted here, or a retransmission.
func (l *Link) RecordOther(now time.Time, d Direction, size int) {
	l.RecordPaced(now, d, size)
	bytes := float64(size)
	if d == In {
		// After a pause of the process, many packets arrive at once that have left the queue.
		passed := min(bytes, l.drainedIdle)
		l.drainedIdle -= passed
		bytes -= passed
	}
	l.queued[d] += bytes
}

// RecordMeasured records the queueing delay that handshakes show at least. It is attributed to the
// busier direction, unless the link is used too little to have a queue, or the process stood still.
func (l *Link) RecordMeasured(now time.Time, delay time.Duration) {
	if l.Use(now) < minMeasuredUse || l.unmeasuredFor > 0 {
		return
	}
	d := In
	if l.queued[Out] > l.queued[In] {
		d = Out
	}
	l.queued[d] = max(l.queued[d], min(delay, maxMeasuredDelay).Seconds()*l.drain)
}

// RecordBase records the duration of a handshake without a queue, as far as known.
func (l *Link) RecordBase(d time.Duration) { l.base = d }

// RecordCompleted records that the handshake of the flow admitted at the given time is complete, also
// after a retransmission.
func (l *Link) RecordCompleted(admitted time.Time) { l.openings.complete(admitted) }

// RecordPending records the queueing delay that pending openings show. While the queue is longer than the
// callers' retransmission timeout, no handshake completes without a retransmission, and RecordMeasured
// learns of no delay.
func (l *Link) RecordPending(now time.Time) {
	if age := l.openings.age(now); age > l.base {
		l.RecordMeasured(now, age-l.base)
	}
}

// MayReject reports whether Rejects may be true for any flow.
func (l *Link) MayReject(now time.Time) bool {
	return l.Delay(now) > time.Duration((1-maxCostShare)*float64(downloadDelay))
}

// Rejects reports whether the queue would delay a flow's packets beyond its limit.
func (l *Link) Rejects(now time.Time, f Flow) bool {
	l.advance(now)
	limit := f.limit().Seconds() * l.drain
	for d := range directions {
		if l.queued[d]+min(l.costs[f.Class].perFlow(d), maxCostShare*limit) > limit {
			return true
		}
	}
	return false
}

// Admit adds the bytes that a flow of the class will cost.
func (l *Link) Admit(now time.Time, class Class) {
	l.advance(now)
	l.openings.add(now)
	c := &l.costs[class]
	for d := range directions {
		l.queued[d] += c.perFlow(d)
	}
	const kept = 1 - 1.0/costFlows
	c.flows = c.flows*kept + 1
	for d := range directions {
		c.bytes[d] *= kept
	}
}

// Cost returns the bytes that a flow of the class costs in a direction.
func (l *Link) Cost(c Class, d Direction) int { return int(l.costs[c].perFlow(d)) }

// Delay returns the estimated queueing delay of the busier direction.
func (l *Link) Delay(now time.Time) time.Duration {
	l.advance(now)
	return time.Duration(max(l.queued[In], l.queued[Out]) / l.drain * float64(time.Second))
}

// Delayed reports whether the delay exceeds suspectDelay or did so within suspectHold, so that
// missing answers say nothing about upstreams.
func (l *Link) Delayed(now time.Time) bool {
	if l.Delay(now) > suspectDelay {
		l.delayedFor = suspectHold
	}
	return l.delayedFor > 0
}

// Use returns the used share of the bandwidth in the busier direction.
func (l *Link) Use(now time.Time) float64 {
	l.advance(now)
	return max(l.passed[In], l.passed[Out]) / (useTimeConstant.Seconds() * l.bandwidth)
}
