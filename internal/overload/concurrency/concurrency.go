package concurrency

import (
	"math"
	"time"
)

// ordinaryPerSlot and urgentPerSlot are the limits of in-flight requests per slot of a service's
// upstreams, for all balancers together. New flows beyond them are rejected. With 150 upstreams and
// 70 balancers, the share of requests served, weighted by value, was:
//
//	ordinary  urgent  at 4 times the load  at 6 times the load
//	3         8       0.913                0.718
//	2         5       0.891                0.704
//	3         4.5     0.896                0.684
const (
	// ordinaryPerSlot is one request in progress and two in the queue: half of a queue that
	// holds four per slot. An upstream with a full queue refuses requests, and each refusal
	// costs as much as a request.
	ordinaryPerSlot = 3.0
	// urgentPerSlot is higher because requests of open flows count towards the limit but cannot be
	// rejected. With ordinaryPerSlot for both, requests of open flows alone would reach the limit,
	// and urgent flows would be rejected.
	urgentPerSlot = 8.0
	// minLimit is the least limit of a balancer. Where many balancers share few slots, each
	// balancer has no request in flight most of the time, and several at times.
	minLimit = 6
	// averageTimeConstant is the time constant of the average of in-flight requests. Their number
	// at one balancer is small and sometimes doubles by chance for a few milliseconds. Without
	// averaging, one flow in ten was rejected at 0.85 of the capacity.
	averageTimeConstant = 400 * time.Millisecond
)

// SharedSlots holds the slots of a service and the number of balancers that share them.
type SharedSlots struct {
	// Slots is the number of requests that the service's upstreams process concurrently.
	// Balancers is the number of balancers that send requests to the service. 0 means unknown.
	Slots, Balancers int
}

// Limit returns the number of in-flight requests from which one balancer rejects new urgent or
// ordinary flows, and whether there is a limit.
func (s SharedSlots) Limit(isUrgent bool) (int, bool) {
	if s.Slots == 0 || s.Balancers == 0 {
		return 0, false
	}
	perSlot := ordinaryPerSlot
	if isUrgent {
		perSlot = urgentPerSlot
	}
	return max(int(perSlot*float64(s.Slots)/float64(s.Balancers)), minLimit), true
}

// shortInterval is a fraction of averageTimeConstant. For update intervals up to this fraction, the
// first terms of the exponential series approximate the weight well enough.
const shortInterval = 0.1

// InFlightAverage is the moving average of a balancer's in-flight requests. The zero value is an
// average of 0. It is not safe for concurrent use.
type InFlightAverage struct {
	mean    float64
	updated time.Time
}

// Update adds the current number of in-flight requests to the average, and reports whether both
// the number and the average have reached the limit.
func (i *InFlightAverage) Update(now time.Time, inFlight, limit int) bool {
	interval := now.Sub(i.updated).Seconds() / averageTimeConstant.Seconds()
	weight := interval - interval*interval/2
	if interval > shortInterval {
		weight = 1 - math.Exp(-interval)
	}
	i.updated = now
	i.mean += weight * (float64(inFlight) - i.mean)
	return inFlight >= limit && i.mean >= float64(limit)
}
