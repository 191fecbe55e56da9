package origins

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/upstream/directory"
)

// VoterVersion is the version of a voter's state that a balancer has received.
type VoterVersion struct {
	_     struct{} `cbor:",toarray"`
	Voter string
	// Life identifies the run of the voter's process and changes with each restart. Within a
	// life, Version rises with the voter's notices and Doubts with its suspicions.
	Life, Version, Doubts uint64
	// Age is the time since the last contact with the voter.
	Age time.Duration
}

// Update is an update from one voter, as it is relayed. If Life is 0, only Voter and Age are set.
// Even in that short form, updates from five voters make up a third of a response without
// changes.
type Update struct {
	_ struct{} `cbor:",toarray"`
	VoterVersion
	// Zone is the voter's availability zone.
	Zone string
	// Notices are the upstream changes after the version that was requested.
	Notices []directory.Notice
	// Subjects lists all suspicions of the voter if Doubted is set. Otherwise the receiver keeps
	// the suspicions that it has.
	Subjects []evidence.Suspicion
	Doubted  bool
}

// ContactOnly returns a copy reduced to the voter's name and age.
func (u Update) ContactOnly() Update {
	return Update{VoterVersion: VoterVersion{Voter: u.Voter, Age: u.Age}}
}

type state struct {
	life, version, suspicionsVersion uint64
	zone                             string
	contact                          time.Time
	// suspicions are the voter's suspicions as received at suspicionsAt. They are encoded as
	// Subjects, and suspicionsVersion as Doubts.
	suspicions   []evidence.Suspicion
	suspicionsAt time.Time
}

// Origins holds the state received from each voter.
type Origins struct{ byVoter map[string]state }

// New returns an empty Origins.
func New() *Origins { return &Origins{byVoter: map[string]state{}} }

// State returns the version received of a voter's state.
func (o *Origins) State(now time.Time, voter string) VoterVersion {
	s := o.byVoter[voter]
	return s.voterVersion(now, voter)
}

func (s state) voterVersion(now time.Time, voter string) VoterVersion {
	return VoterVersion{Voter: voter, Life: s.life, Version: s.version, Doubts: s.suspicionsVersion, Age: now.Sub(s.contact)}
}

// VoterVersions returns the version received of each voter's state, sorted by voter name.
func (o *Origins) VoterVersions(now time.Time) []VoterVersion {
	out := make([]VoterVersion, 0, len(o.byVoter))
	for _, voter := range slices.Sorted(maps.Keys(o.byVoter)) {
		out = append(out, o.byVoter[voter].voterVersion(now, voter))
	}
	return out
}

// Accepts reports whether an update is at least as new as the state held for its voter. Relay
// paths differ in delay, so an update of an earlier life or version may arrive late. Lives have
// no order, so another life is accepted only with a later contact.
func (o *Origins) Accepts(now time.Time, x Update) bool {
	s, held := o.byVoter[x.Voter]
	switch {
	case !held:
		return x.Life != 0
	case x.Life != s.life:
		return now.Add(-x.Age).After(s.contact)
	default:
		return x.Version >= s.version && x.Doubts >= s.suspicionsVersion
	}
}

// Complete fills in the held life and versions of an update that carries only an age.
func (o *Origins) Complete(x Update) Update {
	if s := o.byVoter[x.Voter]; x.Life == 0 {
		x.Life, x.Version, x.Doubts = s.life, s.version, s.suspicionsVersion
	}
	return x
}

// Apply applies an update if it is accepted, and reports whether it changed the life or a version.
func (o *Origins) Apply(now time.Time, x Update) bool {
	x = o.Complete(x)
	if !o.Accepts(now, x) {
		return false
	}
	s := o.byVoter[x.Voter]
	changed := s.life != x.Life || s.version != x.Version || s.suspicionsVersion != x.Doubts
	s.life, s.version, s.zone = x.Life, x.Version, cmp.Or(x.Zone, s.zone)
	if x.Doubted {
		s.suspicions, s.suspicionsAt = x.Subjects, now
	}
	s.suspicionsVersion = x.Doubts
	if contact := now.Add(-x.Age); contact.After(s.contact) {
		s.contact = contact
	}
	o.byVoter[x.Voter] = s
	return changed
}

// CountFresh returns the number of voters whose last contact is at most the given duration ago.
func (o *Origins) CountFresh(now time.Time, within time.Duration) int {
	fresh := 0
	for _, s := range o.byVoter {
		if now.Sub(s.contact) <= within {
			fresh++
		}
	}
	return fresh
}

// Zone returns the availability zone of a voter, or an empty string if the zone is not known.
func (o *Origins) Zone(voter string) string { return o.byVoter[voter].zone }

// Forget removes a process that is no longer a voter.
func (o *Origins) Forget(voter string) { delete(o.byVoter, voter) }

// UpdatesSince returns the updates, without notices, for a balancer that holds the given
// versions, and whether any of them is a change. If that balancer holds newer state of a voter
// than this one, this is not a change; otherwise that balancer would poll again at once in an
// endless loop.
func (o *Origins) UpdatesSince(now time.Time, known []VoterVersion) ([]Update, bool) {
	held := make(map[string]VoterVersion, len(known))
	for _, k := range known {
		held[k.Voter] = k
	}
	changed := false
	out := make([]Update, 0, len(o.byVoter))
	for _, voter := range slices.Sorted(maps.Keys(o.byVoter)) {
		s := o.byVoter[voter]
		k, found := held[voter]
		x := Update{VoterVersion: s.voterVersion(now, voter), Zone: s.zone}
		if s.ahead(x.VoterVersion, k, found) {
			changed = true
		} else {
			x = x.ContactOnly()
		}
		x.Doubted = x.Life != 0 && (!found || k.Life != s.life || k.Doubts != s.suspicionsVersion)
		if x.Doubted {
			x.Subjects = addAge(s.suspicions, now.Sub(s.suspicionsAt))
		}
		out = append(out, x)
	}
	return out, changed
}

// ahead reports whether this balancer holds newer state of the voter (local) than another
// balancer (remote). found is false if the other balancer holds none.
func (s state) ahead(local, remote VoterVersion, found bool) bool {
	switch {
	case !found:
		return true
	case remote.Life != s.life:
		return local.Age < remote.Age
	default:
		return s.version >= remote.Version && s.suspicionsVersion >= remote.Doubts && (s.version > remote.Version || s.suspicionsVersion > remote.Doubts)
	}
}

func addAge(subjects []evidence.Suspicion, elapsed time.Duration) []evidence.Suspicion {
	out := slices.Clone(subjects)
	for i := range out {
		out[i].Age += elapsed
	}
	return out
}
