package ratelimit

import "time"

// window is the time in which the limit applies.
const window = time.Second

// Limiter allows a number of lines per second and counts the suppressed lines.
type Limiter struct {
	limit       int
	windowStart time.Time
	written     int
	suppressed  int
}

// New returns a Limiter that allows limit lines per second.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// Allow reports whether a line may be written now. If so, suppressed is the number of lines
// suppressed since the last written line.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	if now.Sub(l.windowStart) >= window {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.limit {
		l.suppressed++
		return 0, false
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
