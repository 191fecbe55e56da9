package claims

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxClaims bounds a set, at 24 bytes a claim. Shared cookies are rare: among 21,000 upstreams, one in two
// sets of their cookies has one.
const maxClaims = 1024

// Claim states that flows with a cookie may be open at one instance of an upstream. Born is the start time
// of the instance in milliseconds since 1970 by the upstream's clock. A claim without an incarnation states only
// that several upstreams have the cookie.
type Claim struct {
	_           struct{} `cbor:",toarray"`
	Cookie      uint32
	Incarnation uint64
	Born        uint64
}

func compare(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Cookie, b.Cookie), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Born, b.Born))
}

// Set is an immutable set of claims; the zero value is empty. Merging sets is commutative, associative and
// idempotent, so that all processes reach the same set whatever the order of messages.
type Set struct{ sorted []Claim }

// With returns the set with further claims. Beyond maxClaims, it keeps those of the latest instances.
func (s Set) With(all ...Claim) Set {
	merged := slices.Concat(s.sorted, all)
	slices.SortFunc(merged, compare)
	merged = slices.Compact(merged)
	if len(merged) > maxClaims {
		slices.SortFunc(merged, func(a, b Claim) int { return cmp.Or(cmp.Compare(b.Born, a.Born), compare(a, b)) })
		merged = merged[:maxClaims]
		slices.SortFunc(merged, compare)
	}
	if slices.Equal(merged, s.sorted) {
		return s
	}
	return Set{sorted: slices.Clip(merged)}
}

// All returns all claims, sorted; the caller must not modify them.
func (s Set) All() []Claim { return s.sorted }

// Len returns the number of claims.
func (s Set) Len() int { return len(s.sorted) }

// Of returns the claims of instances on one cookie; the caller must not modify them.
func (s Set) Of(cookie uint32) []Claim {
	all := s.on(cookie)
	if len(all) > 0 && all[0].Incarnation == 0 {
		return all[1:]
	}
	return all
}

// Shared reports whether some process knows that several upstreams have a cookie.
func (s Set) Shared(cookie uint32) bool { return len(s.on(cookie)) > 0 }

// on returns the claims on one cookie, that without an incarnation first.
func (s Set) on(cookie uint32) []Claim {
	byCookie := func(c Claim, cookie uint32) int { return cmp.Compare(c.Cookie, cookie) }
	first, found := slices.BinarySearchFunc(s.sorted, cookie, byCookie)
	if !found {
		return nil
	}
	last := first
	for last < len(s.sorted) && s.sorted[last].Cookie == cookie {
		last++
	}
	return s.sorted[first:last:last]
}

// Includes reports whether merging another set would not change this one.
func (s Set) Includes(other Set) bool { return slices.Equal(s.With(other.sorted...).sorted, s.sorted) }

// Digest returns a hash of the set, 0 if it is empty.
func (s Set) Digest() uint64 {
	if len(s.sorted) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var b [20]byte
	for _, c := range s.sorted {
		binary.LittleEndian.PutUint32(b[:], c.Cookie)
		binary.LittleEndian.PutUint64(b[4:], c.Incarnation)
		binary.LittleEndian.PutUint64(b[12:], c.Born)
		_, _ = d.Write(b[:])
	}
	return max(d.Sum64(), 1)
}
