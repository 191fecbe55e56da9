package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxAge is how long a response counts: about the duration of requests when queues are
	// full. With a longer time, flows are rejected for queues that no longer exist.
	maxAge = 150 * time.Millisecond
	// maxResponses is the number of recorded responses; more would only cost time.
	maxResponses = 32
	// minResponses is the number of responses that a prediction needs, so that a single one
	// has little weight: a lost packet delays the response by 200 ms.
	minResponses = 8
	// slowestDivisor sets the share of the responses, the slowest ones, that predictions
	// ignore: one in four. These are due to lost packets, and to upstreams that are not yet
	// known to be slow.
	slowestDivisor = 4
	// growthOffset dampens the growth of small numbers: two requests in flight instead of
	// one do not mean that a queue has doubled.
	growthOffset = 4
	// minGrowth and maxGrowth bound the extrapolation from the load at the recorded responses
	// to the current load, which the responses may not reflect yet.
	minGrowth, maxGrowth = 0.5, 3
	// slowestShare is the least prediction, as a share of the slowest response that is not
	// ignored. Upstreams with full queues may refuse requests at once, and the more they
	// refuse, the shorter the mean: without the bound, a service that was overloaded when a
	// balancer started would stay so.
	slowestShare = 0.45
)

// The predicted response times, as shares of the objective, from which some flows and all flows are
// rejected. Ordinary flows leave headroom for the slowest requests, which take more than twice the
// mean; urgent flows are rejected only when no other is admitted.
//
// With 14 upstreams of two slots, in bursts of a multiple of the ordinary load, the share of
// requests in time was:
//
//	                              2.5 times  3 times  4 times
//	these values                  0.98       0.90     0.75
//	ordinary shares 0.5 and 0.6              0.89     0.58
//	all flows admitted            0.98       0.66     0.50
const (
	ordinaryFirst, ordinaryAll = 0.42, 0.48
	urgentFirst, urgentAll     = 0.6, 0.8
)

const (
	// overloadThreshold is the predicted response time, as a share of the objective, from
	// which a service counts as overloaded. Upstreams that are busy nearly all the time still
	// respond in half of the objective. In a burst of four times the load, rejections from half
	// of the objective on left 0.5 % of the requests unserved; without rejections all were served.
	overloadThreshold = 0.8
	// overloadHold is how long a service still counts as overloaded after its predicted
	// response time, as a share of the objective, has fallen below ordinaryFirst. Only
	// rejections keep the queues short: without them the queues would fill at once.
	overloadHold = 3 * time.Second
)

// Flow describes a new flow.
type Flow struct {
	// Objective is the time within which the flow's requests are to be answered. Flows without
	// an objective (0) are always admitted.
	Objective time.Duration
	// Urgent flows are rejected last.
	Urgent bool
	// Number is a hash of the flow whose lowest 16 bits are evenly distributed.
	Number uint64
}

// response is the response to one request.
type response struct {
	at   time.Time
	took time.Duration
	// inFlightAtSend is the number of the service's requests in flight when the request was
	// sent.
	inFlightAtSend int
}

// Admission predicts the response time of one service from the latest responses. The zero
// value has recorded none and admits all flows.
type Admission struct {
	responses [maxResponses]response
	next      int
	// overloadedUntil is when the service stops counting as overloaded.
	overloadedUntil time.Time
}

// Record records the duration of an answered request, and the number of requests in flight
// when it was sent.
func (a *Admission) Record(now time.Time, took time.Duration, inFlightAtSend int) {
	a.responses[a.next] = response{at: now, took: took, inFlightAtSend: inFlightAtSend}
	a.next = (a.next + 1) % maxResponses
}

// ResponseTime predicts the duration of a request that is sent now with the given number of
// requests in flight; 0 means too few responses to predict. A response reflects the load when its
// request was sent, so a burst would fill all queues before its first response is late. The
// prediction is therefore scaled by the growth of requests in flight since the responses' requests
// were sent.
func (a *Admission) ResponseTime(now time.Time, inFlight int) time.Duration {
	var buffer [maxResponses]response
	n := a.recent(now, &buffer)
	if n < minResponses {
		return 0
	}
	fastest := buffer[:n]
	slices.SortFunc(fastest, func(x, y response) int { return cmp.Compare(x.took, y.took) })
	fastest = fastest[:n-n/slowestDivisor]
	var sum time.Duration
	inFlightSum := 0
	for _, x := range fastest {
		sum += x.took
		inFlightSum += x.inFlightAtSend
	}
	meanInFlight := float64(inFlightSum) / float64(len(fastest))
	growth := min(max((float64(inFlight)+growthOffset)/(meanInFlight+growthOffset), minGrowth), maxGrowth)
	mean := growth * float64(sum) / float64(len(fastest))
	slowest := slowestShare * float64(fastest[len(fastest)-1].took)
	return time.Duration(max(mean, slowest))
}

// Overloaded updates and reports whether the service counts as overloaded. Flows are rejected only
// if it does.
func (a *Admission) Overloaded(now time.Time, predicted, objective time.Duration) bool {
	if objective <= 0 {
		return false
	}
	share := predicted.Seconds() / objective.Seconds()
	if share >= overloadThreshold || now.Before(a.overloadedUntil) && share >= ordinaryFirst {
		a.overloadedUntil = now.Add(overloadHold)
	}
	return now.Before(a.overloadedUntil)
}

// recent copies the responses that still count, the newest first, and returns their number.
func (a *Admission) recent(now time.Time, buffer *[maxResponses]response) int {
	n := 0
	for n < maxResponses {
		x := &a.responses[(a.next-1-n+2*maxResponses)%maxResponses]
		if x.at.IsZero() || now.Sub(x.at) >= maxAge {
			// All others are older.
			break
		}
		buffer[n] = *x
		n++
	}
	return n
}

// Admitted reports whether the flow is admitted at the predicted response time.
func (f Flow) Admitted(predicted time.Duration) bool {
	if f.Objective <= 0 {
		return true
	}
	first, all := ordinaryFirst, ordinaryAll
	if f.Urgent {
		first, all = urgentFirst, urgentAll
	}
	rejected := (predicted.Seconds()/f.Objective.Seconds() - first) / (all - first)
	const parts = 1 << 16
	return float64(f.Number%parts) >= rejected*parts
}
