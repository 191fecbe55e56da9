package balancer

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logLimiter logs at most one line a second and counts the skipped ones.
type logLimiter struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// log logs a warning, and reports whether it did.
func (l *logLimiter) log(now time.Time, log hclog.Logger, text string, err error) bool {
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
