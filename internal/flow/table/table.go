package table

import (
	"fmt"

	"wasabideal/internal/flow/key"
)

// State is the state of a flow.
type State uint8

// The states of an entry. Empty marks a free array slot. If two replicas store a flow with the
// same upstream but different states, the higher state prevails.
const (
	Empty State = iota
	Opening
	Established
	Closing
)

// Entry is one flow. It has 32 bytes, or about 64 bytes per flow in a half-full table.
type Entry struct {
	Key   key.Key
	State State
	// CopyPackets counts the packets that were sent through the flow's other replicas
	// since the replicas of its slot last changed.
	CopyPackets uint8
	// Upstream is the index of the flow's upstream in the router's targets.
	Upstream uint32
	// LastSeen is the time of the last packet, and LastCopied the time of the last packet sent
	// through the other replicas. Both are in seconds.
	LastSeen   uint32
	LastCopied uint32
	// Version is the version of the slot's replicas that CopyPackets refers to.
	Version uint16
}

// FullError reports which limit is reached.
type FullError struct {
	Limit string
	Size  int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("flow table is at its limit of %d %s flows; raise MaxFlows or add balancers", e.Size, e.Limit)
}

const (
	// maxEvictionScan bounds the array slots that are scanned for an opening to evict.
	maxEvictionScan = 64
	// minEvictionAge is the idle time in seconds after which an opening may be evicted.
	minEvictionAge = 1
)

// Table maps keys to entries, with separate limits for openings (flows in state Opening) and for
// all flows.
type Table struct {
	slots            []Entry
	mask             uint64
	limit, openLimit int
	count, openings  int
	// evictionScan is the array slot that was scanned last for an opening to evict.
	evictionScan uint64
	// totalFull reports the limit of all flows. Its text says "established", because openings are
	// evicted before that limit is reported.
	totalFull   *FullError
	openingFull *FullError
}

// New returns a table for limit flows, of which a quarter may be openings.
//
// A SYN flood fills only that quarter: it evicts no established flow, and new openings replace
// old ones.
func New(limit int) *Table {
	size := uint64(16)
	for size*3/4 < uint64(limit) {
		size *= 2
	}
	openLimit := max(limit/4, 1)
	return &Table{
		slots: make([]Entry, size), mask: size - 1, limit: limit, openLimit: openLimit,
		totalFull:   &FullError{Limit: "established", Size: limit},
		openingFull: &FullError{Limit: "opening", Size: openLimit},
	}
}

// Len returns the number of flows.
func (t *Table) Len() int { return t.count }

// Openings returns the number of flows in state Opening.
func (t *Table) Openings() int { return t.openings }

// Capacity returns the number of array slots, for scans with At.
func (t *Table) Capacity() int { return len(t.slots) }

// At returns the entry in array slot i, or nil if the slot is empty.
func (t *Table) At(i int) *Entry {
	e := &t.slots[i]
	if e.State == Empty {
		return nil
	}
	return e
}

// Find returns the flow's entry, or nil if there is none. The entry is valid until the next
// Insert or Remove.
func (t *Table) Find(k key.Key, hash uint64) *Entry {
	for i := hash & t.mask; ; i = (i + 1) & t.mask {
		e := &t.slots[i]
		if e.State == Empty {
			return nil
		}
		if e.Key == k {
			return e
		}
	}
}

// Insert adds an entry or returns a FullError. The table must not contain the key.
func (t *Table) Insert(e Entry, hash uint64, now uint32) (*Entry, error) {
	if t.count >= t.limit && !t.evictOpening(now) {
		return nil, t.totalFull
	}
	if e.State == Opening && t.openings >= t.openLimit && !t.evictOpening(now) {
		return nil, t.openingFull
	}
	i := hash & t.mask
	for t.slots[i].State != Empty {
		i = (i + 1) & t.mask
	}
	t.slots[i] = e
	t.count++
	if e.State == Opening {
		t.openings++
	}
	return &t.slots[i], nil
}

// SetState changes the state of an entry of this table.
func (t *Table) SetState(e *Entry, s State) {
	if e.State == Opening {
		t.openings--
	}
	if s == Opening {
		t.openings++
	}
	e.State = s
}

// evictOpening removes an opening that has been idle for at least minEvictionAge, and reports
// whether it found one among the next maxEvictionScan array slots.
func (t *Table) evictOpening(now uint32) bool {
	for range maxEvictionScan {
		t.evictionScan = (t.evictionScan + 1) & t.mask
		e := &t.slots[t.evictionScan]
		if e.State == Opening && now-e.LastSeen >= minEvictionAge {
			t.Remove(e.Key, e.Key.Hash())
			return true
		}
	}
	return false
}

// Remove deletes the flow's entry and reports whether there was one.
//
// It shifts the following entries back and leaves no tombstone: tombstones would accumulate
// over weeks and slow down lookups of unknown flows.
func (t *Table) Remove(k key.Key, hash uint64) bool {
	e := t.Find(k, hash)
	if e == nil {
		return false
	}
	if e.State == Opening {
		t.openings--
	}
	t.count--
	i := t.indexOf(e, hash)
	t.shiftBack(i)
	return true
}

func (t *Table) indexOf(e *Entry, hash uint64) uint64 {
	i := hash & t.mask
	for &t.slots[i] != e {
		i = (i + 1) & t.mask
	}
	return i
}

// shiftBack closes a hole by backward-shift deletion. Each following entry moves into the hole,
// unless the entry would then precede its home slot.
func (t *Table) shiftBack(hole uint64) {
	for i := (hole + 1) & t.mask; t.slots[i].State != Empty; i = (i + 1) & t.mask {
		home := t.slots[i].Key.Hash() & t.mask
		if (i-home)&t.mask >= (i-hole)&t.mask {
			t.slots[hole] = t.slots[i]
			hole = i
		}
	}
	t.slots[hole] = Entry{}
}
