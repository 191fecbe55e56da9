package backlog

import "time"

const (
	// maxWait is how long an opening is queued. Callers retransmit an opening after 200 ms, and
	// the longer the opening waits here, the less time is left for a retry at another balancer. maxWait is
	// less than an eighth of the latency objective of uploads.
	maxWait = 150 * time.Millisecond
	// maxLen bounds the queue: two uploads end within maxWait, so that further openings
	// would only expire.
	maxLen = 2
)

type item[K comparable, T any] struct {
	key   K
	value T
	since time.Time
}

// Backlog is a bounded queue of the openings at one balancer, the oldest first.
type Backlog[K comparable, T any] struct{ items []item[K, T] }

// Push queues an opening and reports whether it is queued. An opening with the same key that is
// queued already stays unchanged; the new one is then ignored, and the result is true.
func (b *Backlog[K, T]) Push(now time.Time, key K, value T) bool {
	for _, x := range b.items {
		if x.key == key {
			return true
		}
	}
	if len(b.items) >= maxLen {
		return false
	}
	b.items = append(b.items, item[K, T]{key: key, value: value, since: now})
	return true
}

// Dispatch removes and returns the openings for which admits returns true, and those that have
// expired.
func (b *Backlog[K, T]) Dispatch(now time.Time, admits func(K) bool) (admitted, expired []T) {
	kept := b.items[:0]
	for _, x := range b.items {
		switch {
		case admits(x.key):
			admitted = append(admitted, x.value)
		case now.Sub(x.since) >= maxWait:
			expired = append(expired, x.value)
		default:
			kept = append(kept, x)
		}
	}
	b.items = kept
	return admitted, expired
}

// Len returns the number of queued openings.
func (b *Backlog[K, T]) Len() int { return len(b.items) }
