package recent

import "slices"

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
