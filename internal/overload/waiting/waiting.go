package waiting

import (
	"slices"
	"time"
)

const (
	// limit bounds the packets kept: what some hundred callers send in a second.
	// With 1.3 kB at most each they take 0.7 MB.
	limit = 512
	// keepFor is how long a packet is worth keeping: callers give an opening up
	// after 1.4 s, and repeat a packet after 1.6 s at the latest.
	keepFor = time.Second
)

type item[T any] struct {
	value T
	since time.Time
}

// Waiting keeps the newest packet for each key; one goroutine owns it.
type Waiting[K comparable, T any] struct {
	items map[K]item[T]
	order []K
}

// New returns an empty one.
func New[K comparable, T any]() *Waiting[K, T] { return &Waiting[K, T]{items: map[K]item[T]{}} }

// Keep keeps a packet that arrived at a time, in place of an earlier one of its
// key, and reports whether there was room.
func (w *Waiting[K, T]) Keep(now, arrived time.Time, key K, value T) bool {
	old, known := w.items[key]
	if !known && len(w.order) >= limit {
		w.expire(now)
	}
	if !known && len(w.order) >= limit {
		return false
	}
	if !known {
		w.order = append(w.order, key)
		old.since = arrived
	}
	w.items[key] = item[T]{value: value, since: old.since}
	return true
}

// Take passes on the packets that are worth placing, in the order of their first
// arrival and with the time of that, and keeps none.
func (w *Waiting[K, T]) Take(now time.Time, place func(arrived time.Time, value T)) {
	w.expire(now)
	order, items := w.order, w.items
	w.order, w.items = nil, map[K]item[T]{}
	for _, k := range order {
		place(items[k].since, items[k].value)
	}
}

// Remove drops the packet of a key, if one is kept.
func (w *Waiting[K, T]) Remove(key K) {
	if _, known := w.items[key]; !known {
		return
	}
	delete(w.items, key)
	w.order = slices.DeleteFunc(w.order, func(k K) bool { return k == key })
}

// Len returns the number of packets kept.
func (w *Waiting[K, T]) Len() int { return len(w.order) }

func (w *Waiting[K, T]) expire(now time.Time) {
	kept := w.order[:0]
	for _, k := range w.order {
		if now.Sub(w.items[k].since) > keepFor {
			delete(w.items, k)
			continue
		}
		kept = append(kept, k)
	}
	w.order = kept
}
