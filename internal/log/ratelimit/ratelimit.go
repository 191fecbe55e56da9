package ratelimit

import "time"

// window is the time in which the limit applies.
const window = time.Second

// Limiter allows a number of lines per second and counts the suppressed ones.
type Limiter struct {
	limit       int
	windowStart time.Time
	written     int
	suppressed  int
}

// New returns a Pace that allows limit lines per second.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// Allow reports whether a line may be written now and, if so, how many were suppressed since
// the last one written.
func (p *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	if now.Sub(p.windowStart) >= window {
		p.windowStart, p.written = now, 0
	}
	if p.written >= p.limit {
		p.suppressed++
		return 0, false
	}
	p.written++
	suppressed, p.suppressed = p.suppressed, 0
	return suppressed, true
}
