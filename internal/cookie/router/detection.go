package router

import (
	"cmp"
	"math"
	"net/netip"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
)

const (
	// minLossRate and maxLossRate bound the estimated rate of packets lost in transit to a live
	// upstream. At the minimum, three unanswered packets are enough evidence for the voters; at the
	// maximum, no number of packets suffices. maxLossRate also bounds the probability that a
	// missing answer is only late.
	minLossRate, maxLossRate = 0.01, 0.9
	// An upstream without recent answers is assumed to respond in unmeasuredFactor times the
	// median response time of its service. Without a median, unmeasuredResponseTime is assumed.
	// minResponseTime is the least mean response time assumed: after a few fast answers,
	// slower answers would otherwise be overly strong evidence.
	unmeasuredFactor       = 2
	unmeasuredResponseTime = 75 * time.Millisecond
	minResponseTime        = 10 * time.Millisecond
	// lossDecay is the factor applied to the loss counters at each tick, a window of about
	// five seconds.
	lossDecay = 0.98
	// recentDecay is the factor applied at each tick to the packet counters of each upstream
	// and to the opening counters of each zone, a window of about half a second. A count up to
	// recentMin, a fifth of a packet, is no longer recent: one packet decays to it in 0.7 s.
	recentDecay = 0.8
	recentMin   = 0.2
	// minSample is the number of upstreams or openings of a zone that a comparison
	// needs.
	minSample = 3
	// reportBurst and reportsPerTick limit the reports of unanswered packets: 40 a second
	// of 40 bytes are 1.6 kB/s to each voter. The voters need only a part of all balancers'
	// reports.
	reportBurst    = 64
	reportsPerTick = 4
)

// voterSuspicion is the voters' suspicion of an upstream or a whole zone.
type voterSuspicion struct {
	suspicions.Suspicion
	// refuted is set once this balancer has reported an answer since the voters' last
	// update.
	refuted bool
}

// active reports whether there is a suspicion, and this balancer has seen no answer since the
// first unanswered packet was sent.
func (s *voterSuspicion) active(lastAlive time.Time) bool {
	return s != nil && lastAlive.Before(s.First)
}

// unresponsive reports whether the suspicion is active and the voters have confirmed it.
func (s *voterSuspicion) unresponsive(lastAlive time.Time) bool {
	return s.active(lastAlive) && s.Unresponsive
}

// losses estimates the rate of packets lost in transit to live upstreams.
type losses struct {
	// answered is the decaying number of answered requests and openings.
	// answeredAfterRetransmission is the number of these that were sent more than once.
	answered, answeredAfterRetransmission float64
	// zoneRate is the recent share of unanswered packets in the balancer's own zone if at least
	// half of the zone's recently used upstreams left packets unanswered, otherwise 0.
	zoneRate float64
}

// rate returns the estimated loss rate.
func (l *losses) rate() float64 {
	return min(max(l.answeredAfterRetransmission/max(l.answered, 1), l.zoneRate, minLossRate), maxLossRate)
}

// packetCounts are the decaying numbers of packets sent to an upstream and left unanswered.
type packetCounts struct{ sent, unanswered float64 }

// updateLossRates decays the counters, refills the report budget and compares the upstreams of the
// balancer's own zone. If at least half of them leave packets unanswered at the same time, the
// cause is probably packet loss: it is unlikely that all of them are down.
func (r *Router) updateLossRates() {
	r.reportBudget = min(r.reportBudget+reportsPerTick, reportBurst)
	r.losses.answered *= lossDecay
	r.losses.answeredAfterRetransmission *= lossDecay
	used, losing := 0, 0
	var all packetCounts
	for _, s := range r.services {
		for _, t := range s.active {
			if t.Zone == r.settings.Zone && t.recent.sent > recentMin {
				used++
				if t.recent.unanswered > recentMin {
					losing++
				}
				all.sent += t.recent.sent
				all.unanswered += t.recent.unanswered
			}
			t.recent.sent *= recentDecay
			t.recent.unanswered *= recentDecay
		}
	}
	r.losses.zoneRate = 0
	if used >= minSample && 2*losing >= used {
		r.losses.zoneRate = all.unanswered / all.sent
	}
}

// zone is the state shared by the upstreams of one availability zone.
type zone struct {
	// lastAlive is the time of the latest answer from the zone; lastAnswered is the upstream
	// that sent this answer.
	lastAlive      time.Time
	lastAnswered   *target
	voterSuspicion *voterSuspicion
	refusals       refusals
	// evacuationRevoked is when the evacuation of the zone was revoked.
	evacuationRevoked time.Time
}

func (r *Router) zone(name string) *zone {
	z := r.zones[name]
	if z == nil {
		z = &zone{}
		r.zones[name] = z
	}
	return z
}

// unresponsive reports whether the voters have confirmed their suspicion of the upstream or
// its zone, and this balancer has seen no answer since.
func (t *target) unresponsive() bool {
	return t.voterSuspicion.unresponsive(t.lastAlive) || t.zone.voterSuspicion.unresponsive(t.zone.lastAlive)
}

// unresponsiveSuspicion returns the suspicion that makes the upstream unresponsive.
func (t *target) unresponsiveSuspicion() suspicions.Suspicion {
	if t.voterSuspicion.unresponsive(t.lastAlive) {
		return t.voterSuspicion.Suspicion
	}
	return t.zone.voterSuspicion.Suspicion
}

// suspectedByVoters reports whether voters suspect the upstream or its zone and this
// balancer has seen no answer since.
func (t *target) suspectedByVoters() bool {
	return t.voterSuspicion.active(t.lastAlive) || t.zone.voterSuspicion.active(t.zone.lastAlive)
}

// report queues an event for the voters.
func (r *Router) report(e evidence.Event) {
	if !r.settings.Off.Has(mechanism.SharedSilence) {
		r.reports = append(r.reports, e)
	}
}

// Reports returns and clears the queued events for the voters.
func (r *Router) Reports() []evidence.Event {
	out := r.reports
	r.reports = nil
	return out
}

// evidenceWeight returns the weight of an unanswered packet. The weight is the negative logarithm
// of the larger of two probabilities: that the packet was lost, and that the upstream is still
// processing it. The second probability falls exponentially with the time waited, as response times
// under load do. Neither probability exceeds maxLossRate.
func (r *Router) evidenceWeight(now time.Time, t *target, waited time.Duration) float64 {
	mean, known := t.response.Mean(now)
	if !known {
		mean = cmp.Or(unmeasuredFactor*t.service.medianResponseTime, unmeasuredResponseTime)
	}
	pendingProbability := math.Exp(-waited.Seconds() / max(mean, minResponseTime).Seconds())
	return -math.Log(max(r.losses.rate(), min(pendingProbability, maxLossRate)))
}

// reportUnanswered reports a retransmitted packet to the voters, once per request or opening.
// It reports nothing before answerTimeout, or if the upstream has answered any packet since the first
// transmission.
func (r *Router) reportUnanswered(now time.Time, address netip.AddrPort, f *flow) {
	t := f.target
	if f.reported || now.Sub(f.sent) < answerTimeout || !t.lastAlive.Before(f.sent) {
		return
	}
	if !f.opening && r.Class(address) == configuration.Upload {
		// A retransmission in an upload is no evidence: congestion causes it too, and the
		// upstream answers only after the whole body.
		return
	}
	f.reported = true
	t.recent.unanswered++
	t.activate()
	if t.unresponsive() || r.reportBudget == 0 {
		return
	}
	r.reportBudget--
	r.report(evidence.Event{
		Incarnation: t.Incarnation, Born: t.Born, Zone: t.Zone, Age: now.Sub(f.sent), Weight: r.evidenceWeight(now, t, now.Sub(f.sent)),
	})
}

// noteUpstreamAnswer records an answer of an upstream, and refutes the voters' suspicions of the
// upstream and its zone.
func (r *Router) noteUpstreamAnswer(now time.Time, t *target) {
	t.noteAnswer(now)
	t.zone.lastAlive, t.zone.lastAnswered = now, t
	t.zone.refusals.avoidUntil = time.Time{}
	r.refuteSuspicions(now, t)
}

// refuteSuspicions reports the latest answer of an upstream to the voters if the answer came after
// the first unanswered packet of a suspicion. Each suspicion is refuted at most once between
// two updates from the voters.
func (r *Router) refuteSuspicions(now time.Time, t *target) {
	refutes := false
	for _, s := range [...]*voterSuspicion{t.voterSuspicion, t.zone.voterSuspicion} {
		if s != nil && !s.active(t.lastAlive) && !s.refuted {
			s.refuted, refutes = true, true
		}
	}
	if refutes {
		r.report(evidence.Event{
			Incarnation: t.Incarnation, Born: t.Born, Zone: t.Zone, Age: now.Sub(t.lastAlive), Answered: true,
		})
	}
}

// SetSuspicions replaces all suspicions received from the voters, and resets the flows of
// unresponsive upstreams for which mayReset returns true. It returns a Packet for each of these
// flows, with the fields needed to send the reset. Without a reset the caller waits until its
// timeout, and its next request on the flow is lost as well.
func (r *Router) SetSuspicions(now time.Time, all map[evidence.Subject]suspicions.Suspicion) []Packet {
	for _, t := range r.suspects {
		t.voterSuspicion = nil
	}
	r.suspects = r.suspects[:0]
	for _, z := range r.zones {
		z.voterSuspicion = nil
	}
	suspected := false
	for subject, suspicion := range all {
		suspected = r.suspect(subject, suspicion) || suspected
	}
	if !suspected {
		return nil
	}
	for _, t := range r.suspects {
		r.refuteSuspicions(now, t)
	}
	for _, z := range r.zones {
		if z.voterSuspicion != nil && z.lastAnswered != nil {
			r.refuteSuspicions(now, z.lastAnswered)
		}
	}
	return r.resetUnresponsive()
}

// suspect stores a suspicion and reports whether its subject is known. The suspicion is stored as
// not refuted, so that the upstream's latest answer is reported, even if it was reported before: a
// voter that restarted or received reports late may have missed the earlier report.
func (r *Router) suspect(subject evidence.Subject, suspicion suspicions.Suspicion) bool {
	stored := &voterSuspicion{Suspicion: suspicion}
	if z := r.zones[subject.Zone]; subject.Zone != "" && z != nil {
		z.voterSuspicion = stored
		return true
	}
	t := r.targets[subject.Incarnation]
	if subject.Zone != "" || t == nil || t.Born != subject.Born {
		return false
	}
	t.voterSuspicion = stored
	t.noteReduced()
	r.suspects = append(r.suspects, t)
	return true
}

// resetUnresponsive removes the flows of unresponsive upstreams for which mayReset returns
// true. It returns a Packet for each of them, with the fields needed to send the reset.
func (r *Router) resetUnresponsive() []Packet {
	var out []Packet
	for k, f := range r.flows {
		if f.target.unresponsive() && r.mayReset(k.Address, f) {
			out = append(out, Packet{Caller: k.Caller, Address: k.Address, Cookie: f.cookie, Acknowledged: f.acknowledged})
			r.resetFlow(k, f, f.target, Unresponsive)
		}
	}
	return out
}

// mayReset reports whether a flow to an unresponsive upstream can be reset without harm: it
// is not yet open, is idle, or carries a repeatable request. Other requests may have been
// executed, so their callers keep waiting for an answer.
func (r *Router) mayReset(address netip.AddrPort, f *flow) bool {
	return f.opening || !f.requestPending || r.Class(address).Repeatable()
}
