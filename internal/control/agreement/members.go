package agreement

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

func (a *Agreement) self() Voter { return a.voter(a.settings.Self.Id) }

// mayVote is false for a voter that is not in the list: one with a replaced
// disk has forgotten its votes and entries, and must not vote them away.
func (a *Agreement) mayVote() bool {
	v := a.self()
	return v.Id != "" && !v.Learner
}

func (a *Agreement) others() []Voter {
	return lo.Filter(a.voters, func(v Voter, _ int) bool { return v.Id != a.settings.Self.Id })
}

func (a *Agreement) quorum() int { return a.quorumOf(len(a.voting())) }

func (a *Agreement) quorumOf(voters int) int { return voters/2 + 1 }

// noteVoters puts a list of voters in force as soon as it is in the log.
func (a *Agreement) noteVoters(e Entry) {
	if e.Kind != Voters {
		return
	}
	var vs []Voter
	if err := cbor.Unmarshal(e.Data, &vs); err == nil {
		a.voters, a.votersAt = vs, e.Index
	}
}

// findVoters looks up the list in force after entries were cut off.
func (a *Agreement) findVoters() {
	a.voters, a.votersAt = a.snapshot.Voters, a.snapshot.Index
	for _, e := range a.entries {
		a.noteVoters(e)
	}
}

func (a *Agreement) votersUpTo(index uint64) []Voter {
	vs := a.snapshot.Voters
	for _, e := range a.entries {
		if e.Index <= index && e.Kind == Voters {
			_ = cbor.Unmarshal(e.Data, &vs)
		}
	}
	return vs
}

// admit takes a voter that is not in the list as a learner; it votes once it
// has the log.
func (a *Agreement) admit(now time.Time, v Voter) {
	if a.changingVoters() || a.commit < a.leaderFrom || a.voter(v.Id).Id != "" {
		return
	}
	twin, known := lo.Find(a.voters, func(o Voter) bool { return o.Name == v.Name })
	if known && a.silence(now, twin) < 2*a.settings.Election {
		// A live voter of that name stays: two processes with one name are a
		// mistake in the settings, not a replaced disk.
		return
	}
	v.Learner = true
	a.changeVoters(now, append(slices.Clone(a.voters), v))
}

// silence is how long a follower has not answered.
func (a *Agreement) silence(now time.Time, v Voter) time.Duration {
	since := a.leaderSince
	if p := a.progress[v.Id]; p != nil && p.answered.After(since) {
		since = p.answered
	}
	return now.Sub(since)
}

func (a *Agreement) removeVoter(now time.Time, v Voter) {
	a.changeVoters(now, lo.Filter(a.voters, func(o Voter, _ int) bool { return o.Id != v.Id }))
}

// removeAfter is how many elections' time a voter is silent before it leaves
// the list.
const removeAfter = 5

// removeSilent takes the longest silent voter out of the list, where enough
// stay. A machine that is gone for good would otherwise count towards the
// majority for ever, and the next loss would stop all changes; one that comes
// back after all is taken in again.
//
// The list never shrinks below the size at which the losses to be borne leave a
// majority: two of six voters that are cut off for some seconds must not make
// two lost disks among the other four fatal.
func (a *Agreement) removeSilent(now time.Time) {
	if a.quorumOf(len(a.voting())-1)+a.settings.Tolerate > len(a.voting())-1 {
		return
	}
	silent := lo.Filter(a.voting(), func(v Voter, _ int) bool {
		return v.Id != a.settings.Self.Id && a.silence(now, v) >= a.patience(v)
	})
	if len(silent) == 0 {
		return
	}
	a.removeVoter(now, lo.MaxBy(silent, func(x, y Voter) bool { return a.silence(now, x) > a.silence(now, y) }))
}

// patience is how long a voter may be silent; one whose disk was replaced has a
// successor of the same name and never speaks again.
func (a *Agreement) patience(v Voter) time.Duration {
	if lo.ContainsBy(a.voting(), func(o Voter) bool { return o.Name == v.Name && o.Id != v.Id }) {
		return a.settings.Election
	}
	return removeAfter * a.settings.Election
}

func (a *Agreement) voting() []Voter {
	return lo.Filter(a.voters, func(v Voter, _ int) bool { return !v.Learner })
}

func (a *Agreement) changingVoters() bool { return a.votersAt > a.commit }

// tendVoters changes the list by one step where that is due: a learner that has
// caught up gets its vote before a silent voter leaves, so that the list is
// never shorter than it must be.
func (a *Agreement) tendVoters(now time.Time) {
	if a.changingVoters() || a.commit < a.leaderFrom {
		return
	}
	for i, v := range a.voters {
		if v.Learner && a.silence(now, v) < a.settings.Election && a.follow(v.Id).match >= a.commit {
			vs := slices.Clone(a.voters)
			vs[i].Learner = false
			a.changeVoters(now, vs)
			return
		}
	}
	a.removeSilent(now)
}

func (a *Agreement) changeVoters(now time.Time, vs []Voter) {
	data, _ := cbor.Marshal(vs)
	a.append(now, Voters, data)
}

// Remove takes a voter out of the list for good.
func (a *Agreement) Remove(now time.Time, name string) ([]Effect, error) {
	if a.role != Leader {
		return nil, &NotLeaderError{Leader: a.voter(a.leader)}
	}
	a.effects = nil
	if !a.changingVoters() {
		a.changeVoters(now, lo.Filter(a.voters, func(v Voter, _ int) bool { return v.Name != name }))
	}
	return a.effects, nil
}

// helloFor is how long a voter counts as known that is not in the list.
const helloFor = 30 * time.Second

// Addresses returns where the voters listen that are in the list or said hello
// lately, in order, this one included.
func (a *Agreement) Addresses(now time.Time) []string {
	known := []string{a.settings.Self.Address}
	for _, v := range a.voters {
		known = append(known, v.Address)
	}
	for _, h := range a.hellos {
		if now.Sub(h.heard) < helloFor {
			known = append(known, h.voter.Address)
		}
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// Voting returns the addresses of those who have a vote, none while no list of
// voters is held: with an empty disk, or before the system is founded.
func (a *Agreement) Voting() []string {
	return lo.Map(a.voting(), func(v Voter, _ int) string { return v.Address })
}

// Meet adds a voter to those that are asked to take this one in.
func (a *Agreement) Meet(v Voter) {
	if !lo.ContainsBy(a.settings.Meet, func(o Voter) bool { return o.Name == v.Name }) {
		a.settings.Meet = append(slices.Clone(a.settings.Meet), v)
	}
}

// AddressOf returns the address of a voter that said hello, by its id, or of
// one to ask for admission, by its name.
func (a *Agreement) AddressOf(id string) string {
	for _, h := range a.hellos {
		if h.voter.Id == id {
			return h.voter.Address
		}
	}
	for _, v := range a.settings.Meet {
		if v.Name == id {
			return v.Address
		}
	}
	return ""
}
