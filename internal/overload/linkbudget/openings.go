package linkbudget

import "time"

const (
	// maxOpenings bounds the pending openings that are kept, about a second of new flows on a link of
	// 2 Mbit/s. Further ones are not kept, since the oldest ones decide.
	maxOpenings = 256
	// openingTTL is the age from which an opening is no longer pending. Its caller has given up
	// before, after 1.4 s, and the router forgets its flow.
	openingTTL = 2 * time.Second
	// minPending is the number of openings that must be pending for a delay. One or two may be due to
	// lost packets, or to an upstream that has ended.
	minPending = 3
)

// openings holds the times at which the pending openings were placed, the oldest first. An opening
// that was placed before a completed one is not kept: it was overtaken, so its answer does not wait
// in the queue of the link.
type openings struct {
	placed       [maxOpenings]time.Time
	first, count int
}

func (o *openings) at(n int) time.Time { return o.placed[(o.first+n)%maxOpenings] }

func (o *openings) add(now time.Time) {
	o.expire(now)
	if o.count < maxOpenings {
		o.placed[(o.first+o.count)%maxOpenings] = now
		o.count++
	}
}

// complete removes the openings placed until the given time.
func (o *openings) complete(until time.Time) {
	for o.count > 0 && !o.at(0).After(until) {
		o.first = (o.first + 1) % maxOpenings
		o.count--
	}
}

func (o *openings) expire(now time.Time) { o.complete(now.Add(-openingTTL)) }

// age returns how long minPending openings have been pending at least, 0 if fewer are.
func (o *openings) age(now time.Time) time.Duration {
	o.expire(now)
	if o.count < minPending {
		return 0
	}
	return max(now.Sub(o.at(minPending-1)), 0)
}
