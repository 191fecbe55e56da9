package accrual

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wasabideal/internal/silence/evidence"
)

const (
	// suspectThreshold is the evidence at which an upstream is suspected and balancers are asked
	// to report its responses: two packets at a loss rate of one in a hundred.
	suspectThreshold = 8
	// unresponsiveThreshold is the evidence at which an upstream counts as unresponsive: a
	// false positive rate of one in a million, three packets at a loss of one in a hundred.
	unresponsiveThreshold = 13.5
	// zoneUnresponsiveThreshold is the evidence at which a zone counts as unresponsive: five
	// packets at a loss rate of one in a hundred. It is higher than unresponsiveThreshold, since
	// a zone has many more flows than an upstream.
	zoneUnresponsiveThreshold = 20
	// zoneSuspectThreshold is the evidence at which a zone is suspected.
	zoneSuspectThreshold = 16
	// refutedStep is the share by which each refuted suspicion raises the suspect thresholds, and
	// maxRefutedFactor limits the factor by which they rise. While uploads fill links of
	// 2 Mbit/s, most suspicions are false, and the liveness reports that each suspicion causes at
	// all balancers compete with the uploads. With 71 balancers, 0.4 % of the requests were not
	// served, against 0.06 % without suspicions.
	refutedStep      = 0.5
	maxRefutedFactor = 6
	// refutedDecay is the time constant with which refuted suspicions stop counting.
	refutedDecay = 5 * time.Second
	// minZoneUpstreams is how many upstreams of a zone must have left packets unanswered before
	// the zone counts as unresponsive.
	minZoneUpstreams = 2
	// refutationTimeout is how long balancers may take to report a response, and how long the
	// response to a retransmitted packet may take. It covers several round trips to the farthest
	// zone, the processing of a usual request, and the scheduling delay of a slow VM.
	refutationTimeout = 60 * time.Millisecond
	// refutationTimeoutPerHop is added for each balancer that relays the suspicion and forwards
	// its refutation. Such a balancer collects the suspicions of several voters, sends reports
	// only every 20 ms, and has a narrow link of its own. Without this addition, flows of live
	// upstreams were reset where links were full and two balancers relayed.
	refutationTimeoutPerHop = 120 * time.Millisecond
	// evidenceTTL is how long an unanswered packet counts as evidence. Callers wait as long
	// for a response.
	evidenceTTL = 1500 * time.Millisecond
	// unresponsiveTTL is how long a subject stays unresponsive without new evidence. If the
	// subject is down, its announcements are overdue by then; otherwise balancers send flows to
	// it again.
	unresponsiveTTL = 2500 * time.Millisecond
	// maxSuspicions bounds the subjects reported to balancers at once, at 25 bytes each. Zones
	// come first, so that a failed zone is reported even if many of its upstreams are suspected.
	maxSuspicions = 64
	// maxMissed bounds the unanswered packets kept for a subject; more do not change the result.
	maxMissed = 32
	// maxImplicated bounds the upstreams that are kept for a suspicion.
	maxImplicated = 4
)

// missedPacket is an unanswered packet that a balancer or voter reported.
type missedPacket struct {
	reporter string
	// upstream is the destination of the packet.
	upstream evidence.Subject
	// sent is when the packet was first sent, and reported is when its retransmission was
	// reported.
	sent, reported time.Time
	weight         float64
}

// record holds the evidence on one subject.
type record struct {
	missed []missedPacket
	// lastResponse is the time of the latest reported response.
	lastResponse time.Time
	// suspectedAt and unresponsiveAt are when the subject became suspected and unresponsive, or
	// zero.
	suspectedAt, unresponsiveAt time.Time
	// firstSent is when the earliest packet behind the suspicion was sent.
	firstSent time.Time
	// implicated are up to maxImplicated upstreams that left the packets behind the suspicion
	// unanswered.
	implicated []evidence.Subject
}

// Detector accumulates the evidence that was reported to one voter.
type Detector struct {
	records map[evidence.Subject]*record
	version uint64
	// refuted is the decayed count of refuted suspicions as of decayedAt.
	refuted   float64
	decayedAt time.Time
}

// New returns a detector without evidence.
func New() *Detector { return &Detector{records: map[evidence.Subject]*record{}} }

// Version increases whenever the result of Suspicions changes.
func (d *Detector) Version() uint64 { return d.version }

// subjects returns the subjects that an event concerns: the upstream and its whole zone.
func subjects(e evidence.Event) [2]evidence.Subject {
	return [2]evidence.Subject{{Incarnation: e.Incarnation, Born: e.Born}, {Zone: e.Zone}}
}

// Record records an event and its reporter, a balancer or voter.
func (d *Detector) Record(now time.Time, reporter string, e evidence.Event) {
	at := now.Add(-e.Age)
	for _, s := range subjects(e) {
		switch {
		case s == evidence.Subject{}:
			// The event names no upstream or no zone.
		case e.Answered:
			d.recordResponse(s, at)
		default:
			d.recordMissed(now, s, missedPacket{reporter: reporter, upstream: evidence.Subject{Incarnation: e.Incarnation, Born: e.Born}, sent: at, reported: now, weight: e.Weight})
		}
	}
}

// IsSuspected reports whether the upstream of an event or its zone is suspected, so that a response
// would refute the suspicion.
func (d *Detector) IsSuspected(e evidence.Event) bool {
	for _, s := range subjects(e) {
		if r := d.records[s]; r != nil && !r.suspectedAt.IsZero() {
			return true
		}
	}
	return false
}

func (d *Detector) recordMissed(now time.Time, s evidence.Subject, e missedPacket) {
	r := d.records[s]
	if r == nil {
		r = &record{}
		d.records[s] = r
	}
	if len(r.missed) >= maxMissed || !e.sent.After(r.lastResponse) || now.Sub(e.sent) > evidenceTTL {
		return
	}
	r.missed = append(r.missed, e)
}

func (d *Detector) recordResponse(s evidence.Subject, at time.Time) {
	r := d.records[s]
	if r == nil {
		return
	}
	if at.After(r.lastResponse) {
		r.lastResponse = at
	}
	r.missed = slices.DeleteFunc(r.missed, func(e missedPacket) bool { return !e.sent.After(at) })
	if !r.suspectedAt.IsZero() && !at.Before(r.firstSent) {
		r.suspectedAt, r.unresponsiveAt, r.firstSent = time.Time{}, time.Time{}, time.Time{}
		d.version++
		d.refuted++
	}
}

// Evaluate updates which subjects are suspected and unresponsive. balancers is the number of
// balancers that poll this voter, and relayHops the length of the longest chain of balancers that
// relay this voter's responses. The result is when Evaluate must be called again even without
// further evidence, or zero.
func (d *Detector) Evaluate(now time.Time, balancers, relayHops int) time.Time {
	var nextTimeout time.Time
	timeout := refutationTimeout + time.Duration(relayHops)*refutationTimeoutPerHop
	d.refuted *= math.Exp(-now.Sub(d.decayedAt).Seconds() / refutedDecay.Seconds())
	d.decayedAt = now
	for s, r := range d.records {
		r.missed = slices.DeleteFunc(r.missed, func(e missedPacket) bool { return now.Sub(e.sent) > evidenceTTL })
		if d.removable(now, r) {
			delete(d.records, s)
			continue
		}
		d.evaluateRecord(now, s, r, balancers, timeout)
		if end := r.nextTimeout(now, timeout); !end.IsZero() && (nextTimeout.IsZero() || end.Before(nextTimeout)) {
			nextTimeout = end
		}
	}
	return nextTimeout
}

// nextTimeout returns when a suspected subject may become unresponsive without further evidence,
// or zero if it cannot.
func (r *record) nextTimeout(now time.Time, timeout time.Duration) time.Time {
	if r.suspectedAt.IsZero() || !r.unresponsiveAt.IsZero() {
		return time.Time{}
	}
	for _, e := range r.missed {
		if end := e.reported.Add(timeout); end.After(now) {
			return end
		}
	}
	return time.Time{}
}

// removable reports whether a record has expired and must be deleted. If its subject is suspected,
// the deletion ends the suspicion, so removable raises the version.
func (d *Detector) removable(now time.Time, r *record) bool {
	if len(r.missed) > 0 || !r.unresponsiveAt.IsZero() && now.Sub(r.unresponsiveAt) < unresponsiveTTL {
		return false
	}
	if now.Sub(r.lastResponse) < evidenceTTL {
		// Packets sent before the response may still be reported; lastResponse discards them.
		return false
	}
	if !r.suspectedAt.IsZero() {
		d.version++
	}
	return true
}

// evaluateRecord recomputes whether a subject is suspected or unresponsive.
func (d *Detector) evaluateRecord(now time.Time, s evidence.Subject, r *record, balancers int, timeout time.Duration) {
	weight, overdue := 0.0, 0.0
	for _, e := range r.missed {
		weight += e.weight
		if now.Sub(e.reported) >= timeout {
			overdue += e.weight
		}
	}
	suspect, unresponsive := d.thresholds(s)
	if r.suspectedAt.IsZero() && weight >= suspect {
		r.suspectedAt = now
		r.firstSent = slices.MinFunc(r.missed, func(x, y missedPacket) int { return x.sent.Compare(y.sent) }).sent
		r.implicated = nil
		d.version++
	}
	r.recordImplicated()
	if r.suspectedAt.IsZero() || !r.unresponsiveAt.IsZero() || overdue < unresponsive || now.Sub(r.suspectedAt) < timeout {
		return
	}
	if r.countDistinct(func(e missedPacket) any { return e.reporter }) < min(2, balancers) {
		return
	}
	if s.Zone != "" && r.countDistinct(func(e missedPacket) any { return e.upstream }) < minZoneUpstreams {
		return
	}
	r.unresponsiveAt = now
	d.version++
}

// recordImplicated adds the upstreams behind a suspicion. They are kept after their packets have
// expired.
func (r *record) recordImplicated() {
	if r.suspectedAt.IsZero() {
		return
	}
	for _, e := range r.missed {
		if len(r.implicated) < maxImplicated && !slices.Contains(r.implicated, e.upstream) {
			r.implicated = append(r.implicated, e.upstream)
		}
	}
}

// Implicated returns up to maxImplicated upstreams whose unanswered packets caused the
// suspicion of a subject.
func (d *Detector) Implicated(s evidence.Subject) []evidence.Subject {
	if r := d.records[s]; r != nil {
		return r.implicated
	}
	return nil
}

// thresholds returns the evidence at which a subject is suspected and unresponsive.
func (d *Detector) thresholds(s evidence.Subject) (suspect, unresponsive float64) {
	suspect, unresponsive = suspectThreshold, unresponsiveThreshold
	if s.Zone != "" {
		suspect, unresponsive = zoneSuspectThreshold, zoneUnresponsiveThreshold
	}
	suspect *= min(1+refutedStep*d.refuted, maxRefutedFactor)
	return suspect, max(suspect, unresponsive)
}

// countDistinct counts the distinct values of a key among the unanswered packets.
func (r *record) countDistinct(key func(missedPacket) any) int {
	seen := map[any]bool{}
	for _, e := range r.missed {
		seen[key(e)] = true
	}
	return len(seen)
}

// Suspicions returns up to maxSuspicions suspected subjects, zones first.
func (d *Detector) Suspicions(now time.Time) []evidence.Suspicion {
	var out []evidence.Suspicion
	for s, r := range d.records {
		if !r.suspectedAt.IsZero() {
			out = append(out, evidence.Suspicion{Subject: s, Age: now.Sub(r.firstSent), Unresponsive: !r.unresponsiveAt.IsZero()})
		}
	}
	slices.SortFunc(out, func(x, y evidence.Suspicion) int {
		return cmp.Or(cmp.Compare(y.Zone, x.Zone), cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Born, y.Born))
	})
	return out[:min(len(out), maxSuspicions)]
}
