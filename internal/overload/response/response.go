package response

import (
	"slices"
	"time"
)

const (
	// weight is that of the newest answer in the mean: with three in ten, the mean
	// of requests that differ by half is within a fifth of the true one, and
	// follows a change within some answers.
	weight = 0.3
	// trustFor is how long a mean counts without another answer. An upstream that
	// was slow then gets flows again, and its first answer tells anew.
	trustFor = 2 * time.Second
	// slowFrom is the ratio to the others from which an upstream counts as slow:
	// more than twice the spread of the mean.
	slowFrom = 1.5
	// slowMost bounds the ratio: a single packet that was lost must not keep an
	// upstream from all flows.
	slowMost = 10
	// fewMost is how many upstreams are compared without garbage: one balancer sees
	// answers of some dozens in two seconds.
	fewMost = 64
)

// Response is the response time of one upstream as seen here; the zero value has
// seen no answer.
type Response struct {
	mean float64
	at   time.Time
	slow float64
}

// Answered notes that a request was answered after a time.
func (r *Response) Answered(now time.Time, took time.Duration) {
	if r.fresh(now) {
		r.mean += weight * (took.Seconds() - r.mean)
	} else {
		r.mean = took.Seconds()
	}
	r.at = now
}

func (r *Response) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < trustFor }

// Slowness is how many times longer the upstream takes than its service does in
// the middle; 1 where that is not known or not much.
func (r *Response) Slowness() float64 { return max(r.slow, 1) }

// Mean is the mean of the last answers, and false where there was none lately.
func (r *Response) Mean(now time.Time) (time.Duration, bool) {
	return time.Duration(r.mean * float64(time.Second)), r.fresh(now)
}

// Compare works out the slowness of all upstreams of a service, and returns the response
// time in the middle, 0 where none is known.
func Compare(now time.Time, all []*Response) time.Duration {
	var few [fewMost]float64
	means := few[:0]
	for _, r := range all {
		if r.fresh(now) {
			means = append(means, r.mean)
		}
	}
	slices.Sort(means)
	middle := 0.0
	if len(means) > 0 {
		middle = means[(len(means)-1)/2]
	}
	for _, r := range all {
		r.slow = 1
		if len(means) == 0 || !r.fresh(now) {
			continue
		}
		if ratio := r.mean / middle; ratio >= slowFrom {
			r.slow = min(ratio, slowMost)
		}
	}
	return time.Duration(middle * float64(time.Second))
}
