package router

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/cookie/allocation"
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
)

// target is an upstream with the state derived from its packets.
type target struct {
	// cookies holds the upstream's cookies.
	cookies allocation.Holder[*target]
	view.Target
	// forgotten is set once the upstream is no longer known. Its cookies are kept for some time.
	forgotten bool
	// halvings is how often the voters halved the upstream's weight.
	halvings uint8
	// openings counts the flows that await the completion of the handshake; requests counts the
	// flows that await the answer to a request.
	openings, requests int
	service            *service
	// flows counts the stored flows.
	flows    int
	response response.Tracker
	zone     *zone
	load     *zoneLoad
	recent   packetCounts
	// coldWindow limits the rate of flows that this balancer sends while the upstream is
	// cold.
	coldWindow slowstart.Window
	// endObserved is when this balancer first observed that the upstream has terminated.
	endObserved time.Time
	// active is set while the upstream is one of the active ones of its service.
	active bool
	// voterSuspicion is the voters' suspicion of the upstream, nil if there is none. The embedded
	// localSuspicion is this balancer's own suspicion.
	voterSuspicion *voterSuspicion
	localSuspicion
	answers answerCounts
	// turns counts the turns of a reduced upstream since its last trial.
	turns int
	// position is the upstream's location in the pool of its service. It is the last field, so that
	// the fields compared for each new flow are close to each other in memory.
	position position
}

// Cookie returns the first cookie of an upstream: a hash of its incarnation and start time (born). Cookies
// are never 0, since 0 stands for no cookie. A restarted upstream has different cookies, so that flows of
// its earlier instance can be distinguished.
func Cookie(incarnation, born uint64) uint32 {
	return max(uint32(incarnation)^uint32(incarnation>>32)*0x9e3779b1^uint32(born)*0x85ebca6b^uint32(born>>32)*0xc2b2ae35, 1)
}

// Cookies returns all cookies of an upstream.
func Cookies(incarnation, born uint64) [allocation.Choices]uint32 {
	var all [allocation.Choices]uint32
	for choice := range all {
		all[choice] = cookieOf(incarnation, born, choice)
	}
	return all
}

// cookieOf returns one of an upstream's cookies. The further ones are other hashes: upstreams that share the
// first one differ in them.
func cookieOf(incarnation, born uint64, choice int) uint32 {
	if choice == 0 {
		return Cookie(incarnation, born)
	}
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], incarnation)
	binary.LittleEndian.PutUint64(b[8:], born)
	b[16] = byte(choice)
	return max(uint32(xxhash.Sum64(b[:])), 1)
}

// localSuspicion is the suspicion of an upstream that this balancer derives from missing
// answers.
type localSuspicion struct {
	// lastAlive is the time of the latest answer.
	lastAlive time.Time
	// until is when the suspicion ends; backoff is the duration of the latest suspicion.
	until   time.Time
	backoff time.Duration
}

func (s *localSuspicion) suspectedLocally(now time.Time) bool { return now.Before(s.until) }

// noteAnswer records an answer, which ends the suspicion.
func (s *localSuspicion) noteAnswer(now time.Time) {
	s.lastAlive = now
	s.until = time.Time{}
	s.backoff = 0
}

// noteUnanswered records the retransmission of a packet that was first sent at the given time. It
// reports whether the upstream has become suspected by this retransmission.
func (s *localSuspicion) noteUnanswered(now, sent time.Time) bool {
	if s.suspectedLocally(now) || !s.lastAlive.Before(sent) || now.Sub(sent) < answerTimeout {
		return false
	}
	s.backoff = min(max(2*s.backoff, suspicionPeriod), suspicionPeriodMax)
	s.until = now.Add(s.backoff)
	return true
}

// acceptsFlows reports whether the upstream is eligible for new flows.
func (t *target) acceptsFlows() bool {
	return t.cookies.Active() != 0 && !t.Ended && t.State == upstream.Ready
}
