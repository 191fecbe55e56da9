package router

import (
	"time"

	"wasabideal/internal/model/upstream"
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
)

// target is an upstream with what its packets tell of it.
type target struct {
	view.Target
	cookie uint32
	// clash keeps an upstream from new flows whose cookie another one has.
	clash bool
	// opening and working count flows that wait for the upstream's first
	// answer, and for the answer to a request.
	opening, working int
	// flows counts the flows seen here lately.
	flows int
	// alive is the last sign of life, silentSince the sending of the first
	// packet after it that stayed unanswered.
	alive        time.Time
	suspectUntil time.Time
	suspectSpan  time.Duration
}

// Cookie folds an incarnation into the word that the ends of a flow return; it
// is never 0, which stands for none.
func Cookie(incarnation uint64) uint32 {
	c := uint32(incarnation) ^ uint32(incarnation>>32)*0x9e3779b1
	if c == 0 {
		return 1
	}
	return c
}

func (t *target) suspected(now time.Time) bool { return now.Before(t.suspectUntil) }

// sawLife notes an answer.
func (t *target) sawLife(now time.Time) {
	t.alive = now
	t.suspectUntil = time.Time{}
	t.suspectSpan = 0
}

// missed notes a packet, first sent at a time, that had to be repeated.
func (t *target) missed(now, first time.Time) bool {
	if t.suspected(now) || !t.alive.Before(first) || now.Sub(first) < answerTime {
		return false
	}
	t.suspectSpan = min(max(2*t.suspectSpan, suspectFor), suspectMost)
	t.suspectUntil = now.Add(t.suspectSpan)
	return true
}

// takesFlows says that new flows may go there at all.
func (t *target) takesFlows() bool {
	return !t.clash && !t.Ended && t.State == upstream.Ready
}

// slots is the number of requests that the upstream works on at once.
func (t *target) slots(now time.Time) float64 {
	s := max(float64(t.Slots), 1)
	if now.Before(t.ColdUntil) {
		return s * coldShare
	}
	return s
}
