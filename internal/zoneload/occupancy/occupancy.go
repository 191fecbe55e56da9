package occupancy

import "time"

const (
	// window is the time over which requests in flight are averaged.
	window = 200 * time.Millisecond
	// parts is the number of parts of the window. The part that is not yet complete counts in
	// addition, so the average covers window to window+partLength.
	parts      = 4
	partLength = window / parts
)

// part holds the figures of one part of the window.
type part struct {
	// area is the number of requests in flight, integrated over time.
	area     time.Duration
	answered int
}

// Occupancy averages requests in flight. The zero value has none. Updates take constant time and do
// not allocate.
type Occupancy struct {
	inFlight int
	// current is the part that is not yet complete; it ends at the time end since start. Areas are
	// integrated up to the time updated since start.
	current      part
	end, updated time.Duration
	start        time.Time
	// completed holds the complete parts of the window; next is the index of the oldest one.
	completed [parts]part
	next      int
}

// Advance integrates the requests in flight up to the present time. It must precede Add, otherwise
// the change counts from the last update on.
func (o *Occupancy) Advance(now time.Time) {
	if o.end == 0 {
		o.start, o.end = now, partLength
	}
	elapsed := now.Sub(o.start)
	if elapsed >= o.end {
		o.complete(elapsed)
	}
	if elapsed > o.updated {
		o.current.area += time.Duration(o.inFlight) * (elapsed - o.updated)
		o.updated = elapsed
	}
}

// complete completes the parts that end at the given time or before, and begins the next one.
func (o *Occupancy) complete(elapsed time.Duration) {
	if first := elapsed.Truncate(partLength) - window; first > o.end {
		// Parts before the first one of the window need not be completed.
		o.current = part{}
		o.updated, o.end = first, first+partLength
	}
	for elapsed >= o.end {
		o.current.area += time.Duration(o.inFlight) * (o.end - o.updated)
		o.completed[o.next] = o.current
		o.next = (o.next + 1) % parts
		o.current, o.updated = part{}, o.end
		o.end += partLength
	}
}

// Add changes the number of requests in flight as of the last update.
func (o *Occupancy) Add(n int) { o.inFlight += n }

// Answered counts an answered request as of the last update.
func (o *Occupancy) Answered() { o.current.answered++ }

// InFlight returns the number of requests in flight.
func (o *Occupancy) InFlight() int { return o.inFlight }

// Slots returns the average number of requests in flight less those in transit, never below 0. Each
// answered request was in transit for the duration of a handshake.
func (o *Occupancy) Slots(now time.Time, handshake time.Duration) float64 {
	o.Advance(now)
	covered := min(o.updated, window+o.updated-(o.end-partLength))
	if covered <= 0 {
		return 0
	}
	sum := o.current
	for _, p := range o.completed {
		sum.area += p.area
		sum.answered += p.answered
	}
	transit := time.Duration(sum.answered) * handshake
	return max(float64(sum.area-transit)/float64(covered), 0)
}
