package balancer

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// limiter logs at most once a second and counts the rest.
type limiter struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// log reports whether the line was written.
func (l *limiter) log(now time.Time, log hclog.Logger, text string, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < time.Second {
		l.skipped++
		return false
	}
	log.Warn(text, "Error", err, "Skipped", l.skipped)
	l.last, l.skipped = now, 0
	return true
}
