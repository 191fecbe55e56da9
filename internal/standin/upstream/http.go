package upstream

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const maxBodyBytes = 1 << 20

// serveHTTP simulates the work of a request. Without a free slot, the request is
// rejected with the outcome NotRun.
func (u *Upstream) serveHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	serviceTime, ok := u.acquireSlot(key)
	if !ok {
		w.Header().Set("Wasabideal-Outcome", "NotRun")
		http.Error(w, "no slot free", http.StatusServiceUnavailable)
		return
	}
	defer u.releaseSlot()
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s %s\n", u.settings.Service, key, body)
}

// acquireSlot acquires a slot, counts a run of the request key and returns the service time of the
// request. The bool is false if no slot is free. A draining upstream still runs the requests that
// reach it.
func (u *Upstream) acquireSlot(key string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.usedSlots >= int(u.settings.Slots) {
		return 0, false
	}
	u.usedSlots++
	u.counts.Runs[key]++
	u.counts.LastArrival = time.Now()
	return time.Duration(u.random.ExpFloat64() * float64(u.settings.MeanServiceTime)), true
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.usedSlots--
}

// RunCount returns how often the request with a key has run on this upstream.
func (u *Upstream) RunCount(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts.Runs[key]
}
