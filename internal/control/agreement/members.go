package agreement

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

func (a *Node) self() Voter { return a.voter(a.settings.Self.Id) }

// canVote reports whether this voter is in the list and not a learner. A voter with
// a replaced disk is not in the list: it has lost its votes and entries, and its vote
// could help to elect a leader that lacks committed entries.
func (a *Node) canVote() bool {
	v := a.self()
	return v.Id != "" && !v.Learner
}

func (a *Node) peers() []Voter {
	return lo.Filter(a.voters, func(v Voter, _ int) bool { return v.Id != a.settings.Self.Id })
}

// adoptVoters applies the list of voters of an entry. It is called as soon as the entry is
// appended to the log, before the entry is committed.
func (a *Node) adoptVoters(e Entry) {
	if l, ok := decodeVoters(e); ok {
		a.setList(l, e.Index)
	}
}

func (a *Node) setList(l voterList, index uint64) {
	a.list, a.voters, a.votersAt = l, l.all(), index
}

// recomputeVoters determines the list of voters in force after a start, or after the log was
// truncated.
func (a *Node) recomputeVoters() {
	a.setList(voterList{Next: a.snapshot.Voters}, a.snapshot.Index)
	for _, e := range a.entries {
		a.adoptVoters(e)
	}
}

// votersAtIndex returns the list of voters in force at an index.
func (a *Node) votersAtIndex(index uint64) voterList {
	list := voterList{Next: a.snapshot.Voters}
	for _, e := range a.entries {
		if l, ok := decodeVoters(e); ok && e.Index <= index {
			list = l
		}
	}
	return list
}

// timeSinceAck returns the time since a follower last acknowledged a message.
func (a *Node) timeSinceAck(now time.Time, v Voter) time.Duration {
	since := a.leaderSince
	if p := a.progress[v.Id]; p != nil && p.ackedSendTime.After(since) {
		since = p.ackedSendTime
	}
	return now.Sub(since)
}

// voting returns the voters that are not learners.
func (a *Node) voting() []Voter {
	return lo.Filter(a.voters, func(v Voter, _ int) bool { return !v.Learner })
}

// joinRequestTTL is how long the address from a join request is kept.
const joinRequestTTL = 30 * time.Second

// Addresses returns the sorted addresses of this voter, the voters in the list
// and the senders of recent join requests.
func (a *Node) Addresses(now time.Time) []string {
	known := []string{a.settings.Self.Address}
	for _, v := range a.voters {
		known = append(known, v.Address)
	}
	for _, j := range a.joinRequests {
		if now.Sub(j.receivedAt) < joinRequestTTL {
			known = append(known, j.voter.Address)
		}
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// VotingAddresses returns the addresses of the voters that are not learners; while two lists are
// in force, of those in the next one. The result is empty until the first list of voters arrives,
// as after a start with an empty disk.
func (a *Node) VotingAddresses() []string {
	return lo.FilterMap(a.list.Next, func(v Voter, _ int) (string, bool) { return v.Address, !v.Learner })
}

// AddJoinTarget adds a voter to those that receive join requests.
func (a *Node) AddJoinTarget(v Voter) {
	if !lo.ContainsBy(a.settings.JoinTargets, func(o Voter) bool { return o.Name == v.Name }) {
		a.settings.JoinTargets = append(slices.Clone(a.settings.JoinTargets), v)
	}
}

// AddressOf returns the address of the voter that sent a join request with this id, or
// of the join target with this name. It returns "" if there is neither.
func (a *Node) AddressOf(id string) string {
	for _, j := range a.joinRequests {
		if j.voter.Id == id {
			return j.voter.Address
		}
	}
	for _, v := range a.settings.JoinTargets {
		if v.Name == id {
			return v.Address
		}
	}
	return ""
}
