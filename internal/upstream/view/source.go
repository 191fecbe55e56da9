package view

import (
	"maps"
	"slices"
	"time"
)

// maxChanges is how many of the latest changes are kept per voter, at 16 bytes each. Up to twice as
// many are held between two trims. A follower that lacks more than are held receives all notices of
// the voter, at 40 bytes per upstream.
const maxChanges = 1024

// source holds the state received from one voter.
type source struct {
	life    uint64
	contact time.Time
	// reachable reports whether the voter's contact lease was valid at the last call of
	// View.expire.
	reachable bool
	// changes are the latest changes since the voter started, for followers of this balancer.
	changes []change
	// unconfirmedUntil is when unconfirmed notices expire. These are notices from before the
	// voter's restart, and restored ones.
	unconfirmedUntil time.Time
	// hasUnconfirmed reports whether there may be unconfirmed notices that have not expired.
	hasUnconfirmed bool
	notices        map[uint64]*voterNotice
}

// change records the version of the voter with which a notice on an incarnation arrived.
type change struct{ version, incarnation uint64 }

func newSource(life uint64) *source { return &source{life: life, notices: map[uint64]*voterNotice{}} }

// restart records a restart of the voter, and when its earlier notices expire.
func (s *source) restart(life uint64, expiresAt time.Time) {
	s.life, s.changes = life, nil
	s.unconfirmedUntil, s.hasUnconfirmed = expiresAt, true
	for _, t := range s.notices {
		t.expiresAt = expiresAt
	}
}

// addRestored records that a restored notice has arrived, and returns when the notice expires. The
// balancer must expire the notice itself, since the voter sends no notice when it forgets a restored
// upstream that has not announced itself. All unconfirmed notices of a voter expire together, since
// only one expiry time is tracked per voter.
func (s *source) addRestored(now, expiresAt time.Time) time.Time {
	if !s.unconfirmedUntil.After(now) {
		s.unconfirmedUntil = expiresAt
	}
	s.hasUnconfirmed = true
	return s.unconfirmedUntil
}

// takeUnconfirmedExpiry returns true once after the unconfirmed notices have expired.
func (s *source) takeUnconfirmedExpiry(now time.Time) bool {
	if !s.hasUnconfirmed || now.Before(s.unconfirmedUntil) {
		return false
	}
	s.hasUnconfirmed = false
	return true
}

// trim drops all but the latest maxChanges changes once there are more than twice as many, so that
// not every update copies the list.
func (s *source) trim() {
	if len(s.changes) > 2*maxChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-maxChanges:])
	}
}

// changedSince returns the distinct incarnations on which a notice arrived after a version.
func (s *source) changedSince(version uint64) []uint64 {
	first := len(s.changes)
	if first == 0 {
		return nil
	}
	for first > 0 && s.changes[first-1].version > version {
		first--
	}
	if first == 0 {
		// Changes after the requested version may have been trimmed.
		return slices.Collect(maps.Keys(s.notices))
	}
	seen := make(map[uint64]bool, len(s.changes)-first)
	for _, c := range s.changes[first:] {
		seen[c.incarnation] = true
	}
	return slices.Collect(maps.Keys(seen))
}
