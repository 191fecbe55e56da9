package recent

import (
	"slices"
	"time"
)

// maxIncarnations bounds a set, at 9 bytes an upstream. While more upstreams start, as at the start of a whole
// fleet, all count as recent.
const maxIncarnations = 512

// Set holds upstreams by incarnation.
type Set struct {
	_            struct{} `cbor:",toarray"`
	Incarnations []uint64
	// All is set if the set holds all upstreams.
	All bool
}

// Of returns the set of the given upstreams, or of all upstreams if there are many.
func Of(incarnations []uint64) Set {
	if len(incarnations) > maxIncarnations {
		return Set{All: true}
	}
	return Set{Incarnations: incarnations}
}

// Has reports whether the set holds an upstream.
func (s Set) Has(incarnation uint64) bool {
	return s.All || slices.Contains(s.Incarnations, incarnation)
}

// Empty reports whether the set holds no upstream.
func (s Set) Empty() bool { return !s.All && len(s.Incarnations) == 0 }

// With returns the union of two sets.
func (s Set) With(other Set) Set {
	if s.All || other.All {
		return Set{All: true}
	}
	return Of(slices.Concat(s.Incarnations, other.Incarnations))
}

// Tracker records when upstreams became known. It keeps only the latest, so that its cost does not depend on
// the number of upstreams.
type Tracker struct {
	period time.Duration
	// latest holds the upstreams in the order in which they became known.
	latest []arrival
}

type arrival struct {
	incarnation uint64
	at          time.Time
}

// NewTracker returns a tracker for which an upstream is recent for a period.
func NewTracker(period time.Duration) *Tracker { return &Tracker{period: period} }

// Note records that an upstream has become known.
func (t *Tracker) Note(now time.Time, incarnation uint64) {
	t.latest = append(t.latest, arrival{incarnation, now})
	t.trim(now)
}

// Clear makes all upstreams known so far not recent.
func (t *Tracker) Clear() { t.latest = nil }

// Recent returns the recent upstreams.
func (t *Tracker) Recent(now time.Time) Set {
	t.trim(now)
	if len(t.latest) > maxIncarnations {
		return Set{All: true}
	}
	var s Set
	for _, x := range t.latest {
		s.Incarnations = append(s.Incarnations, x.incarnation)
	}
	return s
}

// trim drops upstreams that are no longer recent.
func (t *Tracker) trim(now time.Time) {
	old := 0
	for old < len(t.latest) && now.Sub(t.latest[old].at) >= t.period {
		old++
	}
	if t.latest = t.latest[old:]; len(t.latest) == 0 {
		t.latest = nil
	}
}
