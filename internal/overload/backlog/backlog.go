package backlog

import "time"

const (
	// patience is how long an opening waits at most. Callers repeat one after 200 ms
	// and time spent here is missing for another balancer's try; a refusal after it
	// comes within an eighth of the objective of uploads.
	patience = 150 * time.Millisecond
	// limit bounds the openings that wait: two places become free in patience, and
	// who waits behind more would wait in vain.
	limit = 2
)

type item[K comparable, T any] struct {
	key   K
	value T
	since time.Time
}

// Backlog is the openings that wait at one balancer, the oldest first.
type Backlog[K comparable, T any] struct{ items []item[K, T] }

// Push lets an opening wait, and reports whether there was room; one that waits
// already stays where it is.
func (b *Backlog[K, T]) Push(now time.Time, key K, value T) bool {
	for _, x := range b.items {
		if x.key == key {
			return true
		}
	}
	if len(b.items) >= limit {
		return false
	}
	b.items = append(b.items, item[K, T]{key: key, value: value, since: now})
	return true
}

// Turn returns the openings that are let in now, and those that waited too long.
func (b *Backlog[K, T]) Turn(now time.Time, admits func(K) bool) (admitted, late []T) {
	kept := b.items[:0]
	for _, x := range b.items {
		switch {
		case admits(x.key):
			admitted = append(admitted, x.value)
		case now.Sub(x.since) >= patience:
			late = append(late, x.value)
		default:
			kept = append(kept, x)
		}
	}
	b.items = kept
	return admitted, late
}

// Len returns the number of openings that wait.
func (b *Backlog[K, T]) Len() int { return len(b.items) }
