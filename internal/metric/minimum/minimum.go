package minimum

import "time"

// parts is the number of parts into which a window is divided. A duration is forgotten up to one
// part later than its window ends.
const parts = 5

type part struct {
	index    int64
	shortest time.Duration
}

// Window holds the shortest duration recorded within its length. It is not safe for concurrent use.
type Window struct {
	length time.Duration
	parts  [parts]part
}

// New returns an empty window.
func New(length time.Duration) *Window { return &Window{length: length} }

func (w *Window) index(now time.Time) int64 { return now.UnixNano() / int64(w.length/(parts-1)) }

// Record records a duration.
func (w *Window) Record(now time.Time, d time.Duration) {
	i := w.index(now)
	p := &w.parts[i%parts]
	if p.index != i {
		*p = part{index: i, shortest: d}
	}
	p.shortest = min(p.shortest, d)
}

// Shortest returns the shortest recorded duration, and false if there is none in the window.
func (w *Window) Shortest(now time.Time) (time.Duration, bool) {
	oldest, found, shortest := w.index(now)-parts+1, false, time.Duration(0)
	for _, p := range w.parts {
		if p.index < oldest || p.index == 0 {
			continue
		}
		if !found || p.shortest < shortest {
			found, shortest = true, p.shortest
		}
	}
	return shortest, found
}
