package router

import (
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/overload/response"
	"wasabideal/internal/overload/slowstart"
	"wasabideal/internal/upstream/view"
)

const (
	// suspicionPeriod is how long new flows avoid an upstream after it left a packet
	// unanswered. The period doubles with each further suspicion, up to suspicionPeriodMax,
	// until the upstream answers: each trial of a dead upstream costs one caller its opening.
	suspicionPeriod    = time.Second
	suspicionPeriodMax = 8 * time.Second
	// answerTimeout is the age from which a missing answer counts as evidence: twice the
	// round trip to the farthest zone, plus the processing of a heavy request.
	answerTimeout = 180 * time.Millisecond
	// formerInstanceTTL is how long the cookies of an upstream's earlier instance are kept:
	// longer than any flow may stay open.
	formerInstanceTTL = 90 * time.Second
)

// target is an upstream with the state derived from its packets.
type target struct {
	view.Target
	cookie uint32
	// cookieCollision is set if another upstream has the same cookie; the upstream then
	// gets no new flows.
	cookieCollision bool
	// position is its location in the pool of its service.
	position position
	// openings and requests count the flows that await the completion of the handshake and
	// the answer to a request.
	openings, requests int
	service            *service
	// flows counts the stored flows.
	flows    int
	response response.Tracker
	zone     *zone
	recent   packetCounts
	// coldWindow limits the rate of flows that this balancer sends while the upstream is
	// cold.
	coldWindow slowstart.Window
	// endObserved is when this balancer first observed that the upstream has terminated.
	endObserved time.Time
	// active is set while the upstream is one of the active ones of its service.
	active bool
	// suspicion is the voters' suspicion of the upstream, nil if there is none;
	// localSuspicion is that of this balancer.
	suspicion *voterSuspicion
	localSuspicion
}

// Cookie folds an incarnation and its start time into the cookie that both ends of a flow
// echo; it is never 0, which stands for none. A restarted upstream has a different cookie,
// so that flows of its earlier instance can be distinguished.
func Cookie(incarnation, born uint64) uint32 {
	c := uint32(incarnation) ^ uint32(incarnation>>32)*0x9e3779b1 ^ uint32(born)*0x85ebca6b ^ uint32(born>>32)*0xc2b2ae35
	if c == 0 {
		return 1
	}
	return c
}

// formerInstance is an earlier instance of an upstream, with the time at which its end was
// observed.
type formerInstance struct {
	target *target
	since  time.Time
}

// localSuspicion is the suspicion of an upstream that this balancer derives from missing
// answers.
type localSuspicion struct {
	// lastAlive is the time of the latest answer.
	lastAlive time.Time
	// until is when the suspicion ends, backoff the duration of the latest suspicion.
	until   time.Time
	backoff time.Duration
}

func (s *localSuspicion) suspected(now time.Time) bool { return now.Before(s.until) }

// noteAlive records an answer, which ends the suspicion.
func (s *localSuspicion) noteAlive(now time.Time) {
	s.lastAlive = now
	s.until = time.Time{}
	s.backoff = 0
}

// noteUnanswered records the retransmission of a packet, given the time it was first sent,
// and reports whether the upstream has become suspected.
func (s *localSuspicion) noteUnanswered(now, sent time.Time) bool {
	if s.suspected(now) || !s.lastAlive.Before(sent) || now.Sub(sent) < answerTimeout {
		return false
	}
	s.backoff = min(max(2*s.backoff, suspicionPeriod), suspicionPeriodMax)
	s.until = now.Add(s.backoff)
	return true
}

// acceptsFlows reports whether the upstream is eligible for new flows.
func (t *target) acceptsFlows() bool {
	return !t.cookieCollision && !t.Ended && t.State == upstream.Ready
}
