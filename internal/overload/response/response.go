package response

import (
	"slices"
	"time"
)

const (
	// smoothing is the weight of the newest response in the moving average. With 0.3,
	// the mean of response times that vary by half stays within a fifth of the true
	// mean, and follows a change within a few responses.
	smoothing = 0.3
	// meanTTL is how long a mean is valid without a new response. After that, a slow upstream
	// receives flows again, and its next response starts a new mean.
	meanTTL = 2 * time.Second
	// slowThreshold is the ratio to the median from which an upstream counts as slow:
	// more than twice the spread of the mean.
	slowThreshold = 1.5
	// maxSlowness bounds the ratio, so that a single lost packet does not keep all
	// flows from an upstream.
	maxSlowness = 10
	// stackMeans is the number of upstreams that are compared without a heap
	// allocation: a balancer receives responses of a few dozen in two seconds.
	stackMeans = 64
)

// Tracker tracks the response time of one upstream as measured by this balancer. The
// zero value has recorded no response.
type Tracker struct {
	mean     float64
	updated  time.Time
	slowness float64
}

// Record records the duration of an answered request.
func (t *Tracker) Record(now time.Time, took time.Duration) {
	if t.fresh(now) {
		t.mean += smoothing * (took.Seconds() - t.mean)
	} else {
		t.mean = took.Seconds()
	}
	t.updated = now
}

func (t *Tracker) fresh(now time.Time) bool {
	return !t.updated.IsZero() && now.Sub(t.updated) < meanTTL
}

// Slowness returns the ratio of the upstream's response time to the median of its service. It
// returns 1 if the ratio is unknown or below slowThreshold.
func (t *Tracker) Slowness() float64 { return max(t.slowness, 1) }

// Mean returns the moving average, and whether it is still valid.
func (t *Tracker) Mean(now time.Time) (time.Duration, bool) {
	return time.Duration(t.mean * float64(time.Second)), t.fresh(now)
}

// UpdateSlowness updates the slowness of all upstreams of a service and returns their median
// response time, or 0 if none is known.
func UpdateSlowness(now time.Time, all []*Tracker) time.Duration {
	var buffer [stackMeans]float64
	means := buffer[:0]
	for _, t := range all {
		if t.fresh(now) {
			means = append(means, t.mean)
		}
	}
	slices.Sort(means)
	median := 0.0
	if len(means) > 0 {
		median = means[(len(means)-1)/2]
	}
	for _, t := range all {
		t.slowness = 1
		if len(means) == 0 || !t.fresh(now) {
			continue
		}
		if ratio := t.mean / median; ratio >= slowThreshold {
			t.slowness = min(ratio, maxSlowness)
		}
	}
	return time.Duration(median * float64(time.Second))
}
