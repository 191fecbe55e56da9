package router

import (
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/overload/response"
	"wasabideal/internal/overload/slowstart"
	"wasabideal/internal/upstream/view"
)

const (
	// suspectFor is how long an upstream takes no new flow after it left a
	// packet unanswered; it doubles with each further one, up to suspectMost.
	// Each trial of a dead upstream costs one caller its opening.
	suspectFor  = time.Second
	suspectMost = 8 * time.Second
	// answerTime is how long an upstream may take before silence counts: twice
	// a round trip to the farthest zone, and the work of a heavy request.
	answerTime = 180 * time.Millisecond
	// formerFor is how long the flows of an upstream's earlier life are reset: longer
	// than any flow may stay open.
	formerFor = 90 * time.Second
)

// target is an upstream with what its packets tell of it.
type target struct {
	view.Target
	cookie uint32
	// clash keeps an upstream from new flows whose cookie another one has.
	clash bool
	// position is where it stands among the upstreams of its service.
	position position
	// opening and working count flows that wait for the upstream's first
	// answer, and for the answer to a request.
	opening, working int
	service          *service
	// flows counts the flows seen here lately.
	flows    int
	response response.Response
	zone     *zone
	recent   recent
	// cold is what the upstream got here while it was cold.
	cold slowstart.Window
	// endKnown is when this balancer heard of the end of the upstream's life.
	endKnown time.Time
	// active says that the service lists it as such.
	active bool
	// doubt is what voters say, nil where they say nothing.
	doubt *doubt
	suspicion
}

// Cookie folds an incarnation and its start into the word that the ends of a flow
// return; it is never 0, which stands for none. An upstream that starts again has
// another one, so that the flows of its earlier life are known to be over.
func Cookie(incarnation, born uint64) uint32 {
	c := uint32(incarnation) ^ uint32(incarnation>>32)*0x9e3779b1 ^ uint32(born)*0x85ebca6b ^ uint32(born>>32)*0xc2b2ae35
	if c == 0 {
		return 1
	}
	return c
}

// formerLife is an upstream's life that is over, with when that was learnt.
type formerLife struct {
	target *target
	since  time.Time
}

// suspicion is what missing answers say of an upstream.
type suspicion struct {
	// alive is the last sign of life.
	alive time.Time
	until time.Time
	span  time.Duration
}

func (s *suspicion) suspected(now time.Time) bool { return now.Before(s.until) }

// sawLife notes an answer.
func (s *suspicion) sawLife(now time.Time) {
	s.alive = now
	s.until = time.Time{}
	s.span = 0
}

// missed notes a packet, first sent at a time, that had to be repeated, and
// reports whether that is news.
func (s *suspicion) missed(now, first time.Time) bool {
	if s.suspected(now) || !s.alive.Before(first) || now.Sub(first) < answerTime {
		return false
	}
	s.span = min(max(2*s.span, suspectFor), suspectMost)
	s.until = now.Add(s.span)
	return true
}

// takesFlows says that new flows may go there at all.
func (t *target) takesFlows() bool {
	return !t.clash && !t.Ended && t.State == upstream.Ready
}
