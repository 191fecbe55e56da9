package zoneadmission

import "time"

const (
	// averaged is the time over which balancers average the slots that they report. Without the
	// same average of the requests in flight, chance changes of a few requests at one balancer
	// count as growth.
	averaged = 200 * time.Millisecond
	// sampleInterval and sampleCount cover averaged and the age up to which a view counts, 1 s.
	sampleInterval = 20 * time.Millisecond
	sampleCount    = 64
)

type sample struct {
	at       time.Time
	inFlight int
}

// History holds the recent numbers of this balancer's requests in flight to a service. The zero
// value holds none. It is not safe for concurrent use.
type History struct {
	samples [sampleCount]sample
	next    int
}

// Record records the present number. It keeps one number in each sampleInterval.
func (h *History) Record(now time.Time, inFlight int) {
	if now.Sub(h.sample(0).at) < sampleInterval {
		return
	}
	h.samples[h.next] = sample{at: now, inFlight: inFlight}
	h.next = (h.next + 1) % sampleCount
}

// sample returns the n-th latest sample, the latest being 0.
func (h *History) sample(n int) *sample {
	return &h.samples[(h.next-1-n+2*sampleCount)%sampleCount]
}

// Mean returns the average over the time before a view was measured, and false if nothing is known
// of that time. A number counts until the next one was recorded.
func (h *History) Mean(measured time.Time) (float64, bool) {
	from, end, sum := measured.Add(-averaged), measured, 0.0
	for n := range sampleCount {
		s := h.sample(n)
		if s.at.IsZero() {
			break
		}
		if !s.at.Before(end) {
			continue
		}
		if !s.at.After(from) {
			return (sum + float64(s.inFlight)*end.Sub(from).Seconds()) / averaged.Seconds(), true
		}
		sum += float64(s.inFlight) * end.Sub(s.at).Seconds()
		end = s.at
	}
	if !end.Before(measured) {
		return 0, false
	}
	return sum / measured.Sub(end).Seconds(), true
}
