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
	// minLossRate and maxLossRate bound the estimated rate of packets lost in transit to a
	// live upstream. At the minimum, three packets are enough evidence; at the maximum, no
	// number of packets suffices.
	minLossRate, maxLossRate = 0.01, 0.9
	// unmeasuredFactor times the median response time is assumed for an upstream without
	// recent answers, and unmeasuredResponseTime if the service has no median.
	// minResponseTime keeps a few fast answers from making later packets overly strong
	// evidence.
	unmeasuredFactor       = 2
	unmeasuredResponseTime = 75 * time.Millisecond
	minResponseTime        = 10 * time.Millisecond
	// lossDecay is the factor applied to the loss counters at each tick, a window of about
	// five seconds.
	lossDecay = 0.98
	// recentDecay is the same for the packets sent to each upstream, a window of about half
	// a second. recentMin is a fifth of a packet: the count of one packet is that after 0.7 s.
	recentDecay = 0.8
	recentMin   = 0.2
	// minSample is the number of upstreams or openings of a zone that a comparison
	// needs.
	minSample = 3
	// reportBurst and reportsPerTick limit the reports of unanswered packets: 40 a second
	// of 40 bytes are 1.6 kB/s to each voter. A part of all balancers' reports is enough
	// for the voters.
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

// active reports whether this balancer has seen no answer since the first unanswered packet
// was sent.
func (s *voterSuspicion) active(lastAlive time.Time) bool {
	return s != nil && lastAlive.Before(s.First)
}

// unresponsive reports whether the suspicion is active and the voters' evidence suffices.
func (s *voterSuspicion) unresponsive(lastAlive time.Time) bool {
	return s.active(lastAlive) && s.Unresponsive
}

// losses estimates the rate of packets lost in transit to live upstreams.
type losses struct {
	// answered counts answered requests and openings, retransmitted those of them that were
	// sent more than once.
	answered, retransmitted float64
	// zoneRate is the recent share of unanswered packets in the balancer's own zone if most
	// of its upstreams have some, otherwise 0.
	zoneRate float64
}

// rate returns the estimated loss rate.
func (l *losses) rate() float64 {
	return min(max(l.retransmitted/max(l.answered, 1), l.zoneRate, minLossRate), maxLossRate)
}

// packetCounts are the decaying numbers of packets sent to an upstream and left unanswered.
type packetCounts struct{ sent, unanswered float64 }

// updateLossRates decays the counters and compares the upstreams of the balancer's own
// zone. If most of them leave packets unanswered at the same time, the network is lossy
// rather than each upstream down.
func (r *Router) updateLossRates() {
	r.reportBudget = min(r.reportBudget+reportsPerTick, reportBurst)
	r.losses.answered *= lossDecay
	r.losses.retransmitted *= lossDecay
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
	// lastAlive is the time of the latest answer from the zone, lastAnswered the upstream
	// that sent it.
	lastAlive    time.Time
	lastAnswered *target
	suspicion    *voterSuspicion
	refusals     refusals
	// restored is when the evacuation of the zone was revoked.
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
	return t.suspicion.unresponsive(t.lastAlive) || t.zone.suspicion.unresponsive(t.zone.lastAlive)
}

// unresponsiveSuspicion returns the suspicion that makes the upstream unresponsive.
func (t *target) unresponsiveSuspicion() suspicions.Suspicion {
	if t.suspicion.unresponsive(t.lastAlive) {
		return t.suspicion.Suspicion
	}
	return t.zone.suspicion.Suspicion
}

// suspectedByVoters reports whether voters suspect the upstream or its zone and this
// balancer has seen no answer since.
func (t *target) suspectedByVoters() bool {
	return t.suspicion.active(t.lastAlive) || t.zone.suspicion.active(t.zone.lastAlive)
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

// evidenceWeight returns the weight of an unanswered packet: the negative logarithm of the
// probability that it was lost, or that the upstream is still processing it, whichever is
// larger. Response times of a queue fall off exponentially.
func (r *Router) evidenceWeight(now time.Time, t *target, waited time.Duration) float64 {
	mean, known := t.response.Mean(now)
	if !known {
		mean = cmp.Or(unmeasuredFactor*t.service.medianResponseTime, unmeasuredResponseTime)
	}
	answerPending := math.Exp(-waited.Seconds() / max(mean, minResponseTime).Seconds())
	return -math.Log(max(r.losses.rate(), min(answerPending, maxLossRate)))
}

// reportUnanswered reports a packet that was retransmitted without any answer in between,
// once per request or opening.
func (r *Router) reportUnanswered(now time.Time, address netip.AddrPort, f *flow) {
	t := f.target
	if f.reported || now.Sub(f.sent) < answerTimeout || !t.lastAlive.Before(f.sent) {
		return
	}
	if !f.opening && r.Class(address) == configuration.Upload {
		// Upload bodies are also retransmitted on congested links, and answered only at
		// their end.
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

// noteAlive records an answer of an upstream and refutes suspicions of it.
func (r *Router) noteAlive(now time.Time, t *target) {
	t.noteAlive(now)
	t.zone.lastAlive, t.zone.lastAnswered = now, t
	t.zone.refusals.until = time.Time{}
	r.refuteSuspicions(now, t)
}

// refuteSuspicions reports the latest answer of an upstream if it came after the packets
// that a suspicion is based on.
func (r *Router) refuteSuspicions(now time.Time, t *target) {
	refutes := false
	for _, s := range [...]*voterSuspicion{t.suspicion, t.zone.suspicion} {
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

// SetSuspicions replaces all suspicions of the voters. It returns, for each flow to reset
// because its upstream is unresponsive, a Packet with the fields that a reset needs. Without a
// reset the caller waits until its timeout, and its next request on the flow is lost as well.
func (r *Router) SetSuspicions(now time.Time, all map[evidence.Subject]suspicions.Suspicion) []Packet {
	for _, t := range r.suspects {
		t.suspicion = nil
	}
	r.suspects = r.suspects[:0]
	for _, z := range r.zones {
		z.suspicion = nil
	}
	suspected := false
	for s, reported := range all {
		suspected = r.suspect(s, reported) || suspected
	}
	if !suspected {
		return nil
	}
	for _, t := range r.suspects {
		r.refuteSuspicions(now, t)
	}
	for _, z := range r.zones {
		if z.suspicion != nil && z.lastAnswered != nil {
			r.refuteSuspicions(now, z.lastAnswered)
		}
	}
	return r.resetUnresponsive()
}

// suspect stores a suspicion and reports whether its subject is known. It is stored as not
// yet refuted, so that an answer is reported again: a voter that restarted or was informed
// late may have missed the last report.
func (r *Router) suspect(s evidence.Subject, reported suspicions.Suspicion) bool {
	stored := &voterSuspicion{Suspicion: reported}
	if z := r.zones[s.Zone]; s.Zone != "" && z != nil {
		z.suspicion = stored
		return true
	}
	t := r.targets[s.Incarnation]
	if s.Zone != "" || t == nil || t.Born != s.Born {
		return false
	}
	t.suspicion = stored
	r.suspects = append(r.suspects, t)
	return true
}

// resetUnresponsive removes the flows of unresponsive upstreams that may be reset. It returns
// a Packet for each, as described at SetSuspicions.
func (r *Router) resetUnresponsive() []Packet {
	var out []Packet
	for k, f := range r.flows {
		if f.target.unresponsive() && r.mayReset(k.Address, f) {
			out = append(out, Packet{Caller: k.Caller, Address: k.Address, Cookie: f.target.cookie, Acknowledged: f.acknowledged})
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
