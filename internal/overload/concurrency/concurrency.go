package concurrency

import (
	"math"
	"time"
)

// ordinaryPerSlot and urgentPerSlot are the limits of in-flight requests per slot of a service's
// upstreams, for all balancers together. New flows beyond them are rejected. The share of requests
// served, weighted by value, with 150 upstreams and 70 balancers at four and six times the load:
// 0.913 and 0.718 with limits of three and eight, 0.891 and 0.704 with two and five, 0.896 and 0.684
// with three and four and a half.
const (
	// ordinaryPerSlot is one request in progress and two in the queue: half of a queue that
	// holds four per slot. An upstream with a full queue refuses requests, and each refusal
	// costs as much as a request.
	ordinaryPerSlot = 3.0
	// urgentPerSlot is higher because requests of open flows cannot be rejected, and would
	// leave no capacity for urgent flows.
	urgentPerSlot = 8.0
	// minLimit is the least limit of a balancer. Where many balancers share few slots, each has
	// several requests in flight at times, and mostly none.
	minLimit = 6
	// averageTimeConstant is the time constant of the average of in-flight requests. Their
	// number at one balancer is small, and at random doubles for a few milliseconds: without
	// the average, one flow in ten was rejected at 0.85 of the capacity.
	averageTimeConstant = 400 * time.Millisecond
)

// Share is the size of a service and the number of balancers that share it.
type Share struct {
	// Slots is how many requests the service's upstreams process concurrently, and Balancers how
	// many balancers send them requests; 0 means unknown.
	Slots, Balancers int
}

// Limit returns the number of in-flight requests from which new flows are rejected, and
// whether there is a limit.
func (s Share) Limit(isUrgent bool) (int, bool) {
	if s.Slots == 0 || s.Balancers == 0 {
		return 0, false
	}
	perSlot := ordinaryPerSlot
	if isUrgent {
		perSlot = urgentPerSlot
	}
	return max(int(perSlot*float64(s.Slots)/float64(s.Balancers)), minLimit), true
}

// shortAge is the fraction of averageTimeConstant up to which the first terms of the exponential
// series suffice.
const shortAge = 0.1

// InFlightAverage is the moving average of a balancer's in-flight requests. The zero value is an
// average of 0. It is not safe for concurrent use.
type InFlightAverage struct {
	mean    float64
	updated time.Time
}

// Update adds the current number to the average, and reports whether both the number and the
// average have reached the limit.
func (i *InFlightAverage) Update(now time.Time, inFlight, limit int) bool {
	age := now.Sub(i.updated).Seconds() / averageTimeConstant.Seconds()
	weight := age - age*age/2
	if age > shortAge {
		weight = 1 - math.Exp(-age)
	}
	i.updated = now
	i.mean += weight * (float64(inFlight) - i.mean)
	return inFlight >= limit && i.mean >= float64(limit)
}
