package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// memory is how long an answer counts: about as long as requests take when
	// queues are full. Longer, and flows are refused for queues that are gone.
	memory = 150 * time.Millisecond
	// answersMost is how many answers are looked at; more would only cost time.
	answersMost = 32
	// enough is the number of answers below which they tell nothing: a packet lost
	// on the way delays an answer by 200 ms.
	enough = 8
	// slowestPart of the answers is left out: they are those of upstreams whose
	// slowness is not known yet, and of packets that were lost.
	slowestPart = 4
	// few dampens the growth of small numbers: two requests instead of one are no
	// sign of a queue that has doubled.
	few = 4
	// growthLeast and growthMost bound what is predicted from a growth that none of
	// the answers has seen.
	growthLeast, growthMost = 0.5, 3
	// slowestShare is the share of the slowest answer that the prediction is at
	// least. Full upstreams may refuse requests at once, and the more they refuse,
	// the shorter the mean: a service that was overloaded when a balancer started
	// would stay so.
	slowestShare = 0.45
)

// The predicted response times, as shares of the objective, at which the first
// flow and every flow is turned away. Ordinary flows leave room for the slowest
// requests, which take more than twice the mean; urgent ones are turned away only
// when no other is let in. Measured with 14 upstreams of two slots, as the share of
// what callers wanted in time: bursts of three and four times the ordinary load
// 0.90 and 0.75 (0.66 and 0.50 where all are let in; 0.89 and 0.58 with ordinary
// shares of 0.5 and 0.6), of two and a half times 0.98 (0.98).
const (
	ordinaryFirst, ordinaryAll = 0.42, 0.48
	urgentFirst, urgentAll     = 0.6, 0.8
)

const (
	// overloadFrom is the predicted response time, as a share of the objective, from
	// which a service counts as overloaded. Upstreams that are busy nearly all the time
	// answer in half of the objective and still in time; refusing from there on left
	// 0.5 % of the requests of a burst of four times the load unserved that were all
	// served without.
	overloadFrom = 0.8
	// overloadFor is how long it does so after the response time is back below the
	// first refusal: the queues that refusals keep short would fill at once.
	overloadFor = 3 * time.Second
)

// Demand is what a new flow asks for.
type Demand struct {
	// Objective is the time within which its requests are to be answered; 0 is
	// none, and such flows are never turned away.
	Objective time.Duration
	// Urgent flows are turned away last.
	Urgent bool
	// Number spreads flows evenly over its lowest 16 bits, and stays the same for
	// one flow.
	Number uint64
}

// answer is one request that was answered.
type answer struct {
	at   time.Time
	took time.Duration
	// beside is what the service had under way when the request was sent.
	beside int
}

// Admission is the response time of one service as seen here; the zero value has
// seen no answer and lets all flows in.
type Admission struct {
	answers [answersMost]answer
	next    int
	// until is how long the service counts as overloaded.
	until time.Time
}

// Answered notes that a request was answered after a time, sent when so many were
// under way.
func (a *Admission) Answered(now time.Time, took time.Duration, beside int) {
	a.answers[a.next] = answer{at: now, took: took, beside: beside}
	a.next = (a.next + 1) % answersMost
}

// ResponseTime predicts how long a request will take that is sent while so many
// are under way, 0 where too few answers tell.
//
// The answers tell of requests that were sent before the last ones came in. A
// burst would fill all queues before the first of its answers is late; what is
// under way now, compared with what was then, shows it at once.
func (a *Admission) ResponseTime(now time.Time, underWay int) time.Duration {
	var buffer [answersMost]answer
	n := a.lately(now, &buffer)
	if n < enough {
		return 0
	}
	quick := buffer[:n]
	slices.SortFunc(quick, func(x, y answer) int { return cmp.Compare(x.took, y.took) })
	quick = quick[:n-n/slowestPart]
	var sum time.Duration
	beside := 0
	for _, x := range quick {
		sum += x.took
		beside += x.beside
	}
	usual := float64(beside) / float64(len(quick))
	growth := min(max((float64(underWay)+few)/(usual+few), growthLeast), growthMost)
	mean := growth * float64(sum) / float64(len(quick))
	slowest := slowestShare * float64(quick[len(quick)-1].took)
	return time.Duration(max(mean, slowest))
}

// Overloaded says whether flows are refused at all where a request is predicted to take
// so long.
func (a *Admission) Overloaded(now time.Time, predicted, objective time.Duration) bool {
	if objective <= 0 {
		return false
	}
	share := predicted.Seconds() / objective.Seconds()
	if share >= overloadFrom || now.Before(a.until) && share >= ordinaryFirst {
		a.until = now.Add(overloadFor)
	}
	return now.Before(a.until)
}

// lately copies the answers that count, the newest first, and returns their number.
func (a *Admission) lately(now time.Time, buffer *[answersMost]answer) int {
	n := 0
	for n < answersMost {
		x := &a.answers[(a.next-1-n+2*answersMost)%answersMost]
		if x.at.IsZero() || now.Sub(x.at) >= memory {
			// All others are older.
			break
		}
		buffer[n] = *x
		n++
	}
	return n
}

// Admitted says whether the flow may come in where requests are predicted to take
// so long.
func (d Demand) Admitted(predicted time.Duration) bool {
	if d.Objective <= 0 {
		return true
	}
	first, all := ordinaryFirst, ordinaryAll
	if d.Urgent {
		first, all = urgentFirst, urgentAll
	}
	refused := (predicted.Seconds()/d.Objective.Seconds() - first) / (all - first)
	const parts = 1 << 16
	return float64(d.Number%parts) >= refused*parts
}
