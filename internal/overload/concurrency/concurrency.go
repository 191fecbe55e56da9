package concurrency

import (
	"math"
	"time"
)

// The requests that all balancers together may have under way for each slot of a service's
// upstreams, beyond which new flows are refused. Upstreams work on one a slot and queue a few
// more; one whose queue is full refuses what comes, at the cost of a whole request. Three a
// slot are a queue that is half full where it takes four times the slots. Urgent flows are
// let in beyond that, since open flows, whose requests cannot be refused, leave them no room
// otherwise. Served of what callers asked for in bursts of four and six times the load of
// 150 upstreams and 70 balancers, by worth: 0.913 and 0.718 with three and eight, 0.891 and
// 0.704 with two and five, 0.896 and 0.684 with three and four and a half.
const (
	ordinary = 3.0
	urgent   = 8.0
	// leastEach is the number that one balancer may have under way in any case: where many
	// balancers share few slots, each has some requests at times, and mostly none.
	leastEach = 6
	// levelFor is the time constant with which the number under way is followed. A
	// balancer has few requests under way, and by chance twice as many for some
	// milliseconds: at 0.85 of the capacity one flow in ten was refused for it.
	levelFor = 400 * time.Millisecond
)

// Share is what one of some balancers may use of a service.
type Share struct {
	// Slots is how many requests the service's upstreams work on at once, and Balancers how
	// many balancers send them requests; 0 where that is not known.
	Slots, Balancers int
}

// Limit returns how many requests may be under way before a flow is refused, and whether
// there is a limit.
func (s Share) Limit(isUrgent bool) (int, bool) {
	if s.Slots == 0 || s.Balancers == 0 {
		return 0, false
	}
	perSlot := ordinary
	if isUrgent {
		perSlot = urgent
	}
	return max(int(perSlot*float64(s.Slots)/float64(s.Balancers)), leastEach), true
}

// shortAge is the part of levelFor below which the first terms of an exponential suffice.
const shortAge = 0.1

// Level is how many requests a balancer had under way lately; the zero value had none. One
// goroutine owns it.
type Level struct {
	mean float64
	at   time.Time
}

// Exceeds notes how many are under way, and says whether they reach a limit now, and did so in
// the mean of the last moments.
func (l *Level) Exceeds(now time.Time, underWay, limit int) bool {
	age := now.Sub(l.at).Seconds() / levelFor.Seconds()
	fresh := age - age*age/2
	if age > shortAge {
		fresh = 1 - math.Exp(-age)
	}
	l.at = now
	l.mean += fresh * (float64(underWay) - l.mean)
	return underWay >= limit && l.mean >= float64(limit)
}
