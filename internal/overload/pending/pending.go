package pending

import (
	"slices"
	"time"
)

const (
	// capacity bounds the buffered packets: about a hundred callers send as many packets in
	// a second. At no more than 1.3 kB each they take 0.7 MB.
	capacity = 512
	// maxAge is how long a packet is buffered: callers give up a handshake after 1.4 s,
	// and retransmit a packet after 1.6 s at the latest.
	maxAge = time.Second
)

type item[T any] struct {
	value T
	since time.Time
}

// Buffer buffers the newest packet of each key. It is not safe for concurrent use.
type Buffer[K comparable, T any] struct {
	items map[K]item[T]
	order []K
}

// New returns an empty buffer.
func New[K comparable, T any]() *Buffer[K, T] { return &Buffer[K, T]{items: map[K]item[T]{}} }

// Add buffers a packet that arrived at the given time and reports whether there was space. A new
// packet replaces the buffered packet of the same key; the earlier arrival time is retained.
func (b *Buffer[K, T]) Add(now, arrived time.Time, key K, value T) bool {
	old, known := b.items[key]
	if !known && len(b.order) >= capacity {
		b.expire(now)
	}
	if !known && len(b.order) >= capacity {
		return false
	}
	if !known {
		b.order = append(b.order, key)
		old.since = arrived
	}
	b.items[key] = item[T]{value: value, since: old.since}
	return true
}

// Drain empties the buffer and calls place for each packet that has not expired. The packets are
// passed in the order in which the first packet of each key arrived, with that arrival time.
func (b *Buffer[K, T]) Drain(now time.Time, place func(arrived time.Time, value T)) {
	b.expire(now)
	order, items := b.order, b.items
	b.order, b.items = nil, map[K]item[T]{}
	for _, k := range order {
		place(items[k].since, items[k].value)
	}
}

// Remove drops the packet of a key, if there is one.
func (b *Buffer[K, T]) Remove(key K) {
	if _, known := b.items[key]; !known {
		return
	}
	delete(b.items, key)
	b.order = slices.DeleteFunc(b.order, func(k K) bool { return k == key })
}

// Len returns the number of buffered packets.
func (b *Buffer[K, T]) Len() int { return len(b.order) }

func (b *Buffer[K, T]) expire(now time.Time) {
	kept := b.order[:0]
	for _, k := range b.order {
		if now.Sub(b.items[k].since) > maxAge {
			delete(b.items, k)
			continue
		}
		kept = append(kept, k)
	}
	b.order = kept
}
