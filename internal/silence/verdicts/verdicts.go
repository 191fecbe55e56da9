package verdicts

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/silence/evidence"
)

// lease is the time without contact with a voter after which its verdicts are dropped. Voters repeat
// them every 0.8 s, and three levels of relays add at most 0.6 s each.
const lease = 3 * time.Second

// Known names the verdicts of a voter that a balancer holds.
type Known struct {
	Voter   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	// Age is the time since the last contact with the voter.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Update holds the verdicts of one voter.
type Update struct {
	Known
	// Reduced is empty if the receiver holds this version already.
	Reduced []evidence.Reduced `cbor:"4,keyasint,omitempty"`
}

// Version returns the version of a list of verdicts, 0 for an empty one. Equal lists have the same
// version whichever process computes it, so versions need no life of a process.
func Version(all []evidence.Reduced) uint64 {
	if len(all) == 0 {
		return 0
	}
	var b []byte
	for _, r := range all {
		b = binary.LittleEndian.AppendUint32(b, r.Cookie)
		b = append(b, r.Halvings)
	}
	return max(xxhash.Sum64(b), 1)
}

type entry struct {
	version uint64
	contact time.Time
	reduced []evidence.Reduced
	// emptied is when the voter withdrew its last verdict.
	emptied time.Time
}

// Set holds the latest verdicts of each voter.
type Set struct {
	byVoter map[string]entry
	version uint64
}

// New returns an empty set.
func New() *Set { return &Set{byVoter: map[string]entry{}} }

// Revision rises with each change of All.
func (s *Set) Revision() uint64 { return s.version }

// Apply applies an update unless a later contact with its voter is known, and reports whether All
// may have changed.
func (s *Set) Apply(now time.Time, u Update) bool {
	held, known := s.byVoter[u.Voter]
	contact := now.Add(-u.Age)
	switch {
	case !known && u.Version == 0, known && !contact.After(held.contact), now.Sub(contact) >= lease:
		return false
	case u.Version == held.version:
		held.contact = contact
		s.byVoter[u.Voter] = held
		return false
	case u.Version != 0 && len(u.Reduced) == 0:
		// The sender took this balancer to hold the version already.
		return false
	}
	x := entry{version: u.Version, contact: contact, reduced: u.Reduced}
	if u.Version == 0 {
		x.emptied = now
	}
	s.byVoter[u.Voter] = x
	s.version++
	return true
}

// Expire drops the verdicts of voters without contact for the lease.
func (s *Set) Expire(now time.Time) {
	for voter, x := range s.byVoter {
		if now.Sub(x.contact) < lease && (x.version != 0 || now.Sub(x.emptied) < lease) {
			continue
		}
		delete(s.byVoter, voter)
		if x.version != 0 {
			s.version++
		}
	}
}

// Known returns what this balancer holds, sorted by voter.
func (s *Set) Known(now time.Time) []Known {
	var out []Known
	for _, voter := range slices.Sorted(maps.Keys(s.byVoter)) {
		x := s.byVoter[voter]
		out = append(out, Known{Voter: voter, Version: x.version, Age: now.Sub(x.contact)})
	}
	return out
}

// Held returns the version of a voter's verdicts that this balancer holds.
func (s *Set) Held(voter string) uint64 { return s.byVoter[voter].version }

// Since returns the updates for a balancer that holds the given verdicts, and whether any of them is a
// change. If that balancer had a later contact with a voter, it would ignore the update, and a
// change would make it poll again in an endless loop.
func (s *Set) Since(now time.Time, known []Known) ([]Update, bool) {
	held := make(map[string]Known, len(known))
	for _, k := range known {
		held[k.Voter] = k
	}
	var out []Update
	changed := false
	for _, k := range s.Known(now) {
		other, found := held[k.Voter]
		u := Update{Known: k}
		if k.Version != other.Version {
			u.Reduced = s.byVoter[k.Voter].reduced
			changed = changed || !found || k.Age < other.Age
		}
		if found || k.Version != 0 {
			out = append(out, u)
		}
	}
	return out, changed
}

// All merges the verdicts of all voters, those with the highest likelihood ratio first. Of two
// verdicts on an upstream the lower weight counts: the other voter may have received fewer reports.
func (s *Set) All() []evidence.Reduced {
	merged := map[uint32]evidence.Reduced{}
	for _, x := range s.byVoter {
		for _, r := range x.reduced {
			if m, found := merged[r.Cookie]; !found || r.Halvings > m.Halvings || r.Halvings == m.Halvings && r.Ratio > m.Ratio {
				merged[r.Cookie] = r
			}
		}
	}
	out := slices.Collect(maps.Values(merged))
	slices.SortFunc(out, func(a, b evidence.Reduced) int {
		return cmp.Or(cmp.Compare(b.Ratio, a.Ratio), cmp.Compare(a.Cookie, b.Cookie))
	})
	return out
}
