package router

import (
	"time"

	"wasabideal/internal/model/configuration"
)

const (
	// openingTTL is how long an unanswered opening is stored; callers give up after 1.4 s.
	openingTTL = 2 * time.Second
	// flowTTL is how long an idle flow is stored and counted as load.
	flowTTL = 15 * time.Second
	// requestTTL bounds how long a request counts as in flight. If its flow moves to another
	// balancer, this balancer sees no later packet that would end the request.
	requestTTL = 2 * time.Second
	// openedHerePeriod is how long after its placement a flow's packets count as expected: a
	// handshake and a request, each with a retransmission. Without the bound, all bytes of flows that
	// live long would count as the cost of the few that are opened.
	openedHerePeriod = 500 * time.Millisecond
	// maxFlows bounds the stored flows, about 150 bytes each. Further flows are forwarded
	// but do not count as load.
	maxFlows = 100_000
	// maxFreeFlows bounds the free list, 130 bytes per flow.
	maxFreeFlows = 4096
	// sweepInterval is the time between two scans for expired flows.
	sweepInterval = 500 * time.Millisecond
)

// flow is the state of a flow that passed through this balancer.
type flow struct {
	target *target
	// lastPacket is when the caller's latest packet arrived.
	lastPacket time.Time
	// opened is when this balancer placed the opening, zero if another balancer did.
	opened time.Time
	// opening is set until the caller completes the handshake.
	opening bool
	// upload is set if the flow's route has the class Upload. Its requests do not count as occupied
	// slots.
	upload bool
	// sent is when the pending opening or request was first sent.
	sent           time.Time
	requestPending bool
	// overdue is set if the answer is late, or if the upstream was suspected when the packet was
	// sent. An overdue flow does not count towards the concurrency limit.
	overdue bool
	// retransmitted is set if the pending opening or request was sent again; reported is set if
	// it was reported to the voters as unanswered.
	retransmitted, reported bool
	// cookie is the cookie of the flow's packets.
	cookie uint32
	// inFlightAtSend is the service's effectiveInFlight when the request was sent.
	inFlightAtSend int
	// nextSequence is the end of the data that the caller has sent; acknowledged is the end of
	// the data that the caller has received.
	nextSequence, acknowledged uint32
	// answerStart is the end of the data that the caller had received before the request, and
	// answerTook is the time from the request to the latest acknowledgment in µs, in 32 bits so that
	// an opening initializes less memory. answer is set from the first packet of an answer until
	// endAnswer counts it.
	answerStart, answerTook uint32
	answer                  *classAnswers
}

func (r *Router) openFlow(now time.Time, k Flow, t *target, class configuration.Class) {
	t.cookies.Use(t.cookies.Active())
	if len(r.flows) >= maxFlows {
		return
	}
	f := r.addFlow(k, flow{target: t, cookie: t.cookies.Active(), lastPacket: now, opened: now, sent: now, opening: true, upload: class == configuration.Upload})
	f.addPending(1, 0)
	t.noteSent()
	t.zone.refusals.noteNewFlow(now)
	f.awaitAnswer(now)
}

// addFlow stores a flow, reusing an entry of the free list to avoid an allocation per
// opening.
func (r *Router) addFlow(k Flow, initial flow) *flow {
	var f *flow
	if last := len(r.freeFlows) - 1; last >= 0 {
		f, r.freeFlows = r.freeFlows[last], r.freeFlows[:last]
	} else {
		f = &flow{}
	}
	*f = initial
	f.target.flows++
	r.flows[k] = f
	return f
}

// release removes a flow's load from its target and clears its pending state, so that a
// reused entry is not marked overdue.
func (f *flow) release() {
	if f.opening {
		f.addPending(-1, 0)
	}
	if f.requestPending {
		f.addPending(0, -1)
	}
	f.setOverdue(false)
	f.opening, f.requestPending = false, false
	f.target.flows--
}

func (r *Router) removeFlow(k Flow, f *flow) {
	f.release()
	delete(r.flows, k)
	if len(r.freeFlows) < maxFreeFlows {
		r.freeFlows = append(r.freeFlows, f)
	}
}

// noteEstablished updates a flow from a packet of its caller. An acknowledged answer shows
// that the upstream is alive. A retransmitted request shows that the upstream may be down. It
// returns whether this balancer placed the flow recently, and whether the packet is a retransmission.
func (r *Router) noteEstablished(now time.Time, k Flow, t *target, p Packet) (openedHere, retransmitted bool) {
	f := r.flows[k]
	if f == nil || f.target != t {
		if f != nil {
			r.removeFlow(k, f)
		}
		t.cookies.Use(p.Cookie)
		if len(r.flows) >= maxFlows {
			return false, false
		}
		f = r.addFlow(k, flow{target: t, cookie: p.Cookie, nextSequence: p.Sequence, acknowledged: p.Acknowledged, upload: r.Class(p.Address) == configuration.Upload})
	}
	f.lastPacket, f.cookie = now, p.Cookie
	if f.opening {
		f.opening = false
		f.addPending(-1, 0)
		r.noteHandshake(now, f)
		r.noteFlowAnswer(now, f)
		notify(r.settings.Opened, now.Sub(f.sent))
		f.nextSequence, f.acknowledged = p.Sequence, p.Acknowledged
	}
	if int32(p.Acknowledged-f.acknowledged) > 0 {
		f.acknowledged = p.Acknowledged
		r.noteFlowAnswer(now, f)
		if f.requestPending {
			f.requestPending = false
			f.noteAnswered(now)
			f.addPending(0, -1)
			class := r.Class(p.Address)
			r.recordResponseTime(now, f, class)
			if r.settings.MeasureAnswers && class != configuration.Upload {
				f.answer = t.service.answers.class(class)
			}
		}
		if f.answer != nil {
			f.answerTook = uint32(now.Sub(f.sent).Microseconds())
		}
	}
	openedHere, retransmitted = now.Sub(f.opened) < openedHerePeriod, r.noteData(now, f, t, p)
	if p.Finish || p.Reset {
		if f.answer != nil && !p.Reset && !f.requestPending {
			r.endAnswer(now, f, now.Sub(f.sent)-f.answerDuration() < answerQuiet)
		}
		t.load.occupied.Advance(now)
		r.noteFinished(now, k, t)
		r.removeFlow(k, f)
	}
	return openedHere, retransmitted
}

// noteHandshake records the end of a handshake, and its duration. After a retransmission it is unknown which
// copy of the opening was answered.
func (r *Router) noteHandshake(now time.Time, f *flow) {
	if f.sent.After(r.latestCompleted) {
		r.latestCompleted = f.sent
	}
	if !f.retransmitted {
		took := now.Sub(f.sent)
		r.recentHandshakes.Record(now, took)
		r.handshakes.Record(now, took)
		if r.meanHandshake == 0 {
			r.meanHandshake = took
		}
		r.meanHandshake += (took - r.meanHandshake) / handshakesAveraged
	}
}

// noteFlowAnswer records that the upstream of a flow answered.
func (r *Router) noteFlowAnswer(now time.Time, f *flow) {
	r.losses.answered++
	if f.retransmitted {
		r.losses.answeredAfterRetransmission++
		f.retransmitted = false
	}
	if f.overdue {
		// An overdue request did not occupy its slot until now.
		f.target.load.occupied.Advance(now)
	}
	f.setOverdue(false)
	r.noteUpstreamAnswer(now, f.target)
}

// noteData records the data of a packet and reports whether it is a retransmission.
func (r *Router) noteData(now time.Time, f *flow, t *target, p Packet) bool {
	if p.Length == 0 {
		return false
	}
	sequenceEnd := p.Sequence + uint32(p.Length)
	if int32(sequenceEnd-f.nextSequence) > 0 {
		f.nextSequence = sequenceEnd
		if !f.requestPending {
			if f.answer != nil {
				r.endAnswer(now, f, true)
			}
			f.answerStart = f.acknowledged
			f.requestPending, f.sent, f.inFlightAtSend = true, now, t.service.effectiveInFlight()
			f.retransmitted, f.reported = false, false
			t.noteSent()
			t.load.occupied.Advance(now)
			f.addPending(0, 1)
			f.awaitAnswer(now)
		}
		return false
	}
	if f.requestPending {
		r.noteRetransmission(now, p.Address, f)
	}
	return true
}

// Flows returns the number of stored flows.
func (r *Router) Flows() int { return len(r.flows) }

// compareResponseTimes compares the response times of upstreams within each service.
func (r *Router) compareResponseTimes(now time.Time) {
	for _, s := range r.services {
		s.compareResponseTimes(now)
	}
}

// Tick updates decaying counters and removes expired state; it must be called ten times a
// second.
func (r *Router) Tick(now time.Time) {
	r.compareResponseTimes(now)
	for _, s := range r.services {
		s.markOverdue(now)
		r.recordInFlight(now, s)
	}
	r.detectAbandoned(now)
	for _, z := range r.zones {
		z.refusals.decay()
	}
	r.updateLossRates()
	r.updateShares(now)
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	r.cookies.Expire(now)
	r.expireFinished(now)
	r.applyCookieChanges()
	for k, f := range r.flows {
		switch {
		case f.opening && now.Sub(f.sent) > openingTTL, now.Sub(f.lastPacket) > flowTTL:
			r.removeFlow(k, f)
		case f.requestPending && now.Sub(f.sent) > requestTTL:
			f.setOverdue(false)
			f.requestPending = false
			f.addPending(0, -1)
		case f.answer != nil && !f.requestPending && now.Sub(f.lastPacket) > answerQuiet:
			r.endAnswer(now, f, false)
		}
	}
}
