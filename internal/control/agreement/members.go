package agreement

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
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

func (a *Node) quorum() int { return a.quorumOf(len(a.voting())) }

func (a *Node) quorumOf(voters int) int { return voters/2 + 1 }

// adoptVoters applies the list of voters of an entry. It is called as soon as the entry is
// appended to the log, before the entry is committed.
func (a *Node) adoptVoters(e Entry) {
	if e.Kind != Voters {
		return
	}
	var vs []Voter
	if err := cbor.Unmarshal(e.Data, &vs); err == nil {
		a.voters, a.votersAt = vs, e.Index
	}
}

// recomputeVoters determines the list of voters in force after the log was truncated.
func (a *Node) recomputeVoters() {
	a.voters, a.votersAt = a.snapshot.Voters, a.snapshot.Index
	for _, e := range a.entries {
		a.adoptVoters(e)
	}
}

// votersAtIndex returns the list of voters in force at an index.
func (a *Node) votersAtIndex(index uint64) []Voter {
	vs := a.snapshot.Voters
	for _, e := range a.entries {
		if e.Index <= index && e.Kind == Voters {
			_ = cbor.Unmarshal(e.Data, &vs)
		}
	}
	return vs
}

// addLearner adds a voter to the list as a learner, unless the list contains it already.
// updateVoters promotes the learner once it has the log.
func (a *Node) addLearner(now time.Time, v Voter) {
	if a.voterChangePending() || a.commit < a.termStartIndex || a.voter(v.Id).Id != "" {
		return
	}
	sameName, known := lo.Find(a.voters, func(o Voter) bool { return o.Name == v.Name })
	if known && a.timeSinceAck(now, sameName) < 2*a.settings.Election {
		// The existing voter of that name is reachable: two processes share a name by a
		// configuration mistake, and no disk was replaced.
		return
	}
	v.Learner = true
	a.proposeVoters(now, append(slices.Clone(a.voters), v))
}

// timeSinceAck returns the time since a follower last acknowledged a message.
func (a *Node) timeSinceAck(now time.Time, v Voter) time.Duration {
	since := a.leaderSince
	if p := a.progress[v.Id]; p != nil && p.ackedSendTime.After(since) {
		since = p.ackedSendTime
	}
	return now.Sub(since)
}

func (a *Node) removeVoter(now time.Time, v Voter) {
	a.proposeVoters(now, lo.Filter(a.voters, func(o Voter, _ int) bool { return o.Id != v.Id }))
}

// removeAfterElections is the number of election timeouts after which an
// unreachable voter is removed.
const removeAfterElections = 5

// removeUnreachable removes the voter that has been unreachable the longest, so
// that a deleted VM does not count towards the majority forever. A removed voter that
// returns is added again. Enough voters stay in the list to retain a majority after
// Tolerate losses. If Tolerate is 2 and two of six voters are partitioned for some
// seconds, the loss of two disks among the other four must not be fatal.
func (a *Node) removeUnreachable(now time.Time) {
	if a.quorumOf(len(a.voting())-1)+a.settings.Tolerate > len(a.voting())-1 {
		return
	}
	unreachable := lo.Filter(a.voting(), func(v Voter, _ int) bool {
		return v.Id != a.settings.Self.Id && a.timeSinceAck(now, v) >= a.removalTimeout(v)
	})
	if len(unreachable) == 0 {
		return
	}
	a.removeVoter(now, lo.MaxBy(unreachable, func(x, y Voter) bool { return a.timeSinceAck(now, x) > a.timeSinceAck(now, y) }))
}

// removalTimeout returns how long a voter may be unreachable before it is removed. The
// timeout is shorter if another voter has the same name: the disk was then replaced, and
// the former id never responds again.
func (a *Node) removalTimeout(v Voter) time.Duration {
	if lo.ContainsBy(a.voting(), func(o Voter) bool { return o.Name == v.Name && o.Id != v.Id }) {
		return a.settings.Election
	}
	return removeAfterElections * a.settings.Election
}

// voting returns the voters that are not learners.
func (a *Node) voting() []Voter {
	return lo.Filter(a.voters, func(v Voter, _ int) bool { return !v.Learner })
}

// voterChangePending reports whether a change of voters is not yet committed.
func (a *Node) voterChangePending() bool { return a.votersAt > a.commit }

// updateVoters proposes the next change of the list of voters, if any. A learner that has
// caught up is promoted before an unreachable voter is removed, so that the number of
// voters stays as high as possible.
func (a *Node) updateVoters(now time.Time) {
	if a.voterChangePending() || a.commit < a.termStartIndex {
		return
	}
	for i, v := range a.voters {
		if v.Learner && a.timeSinceAck(now, v) < a.settings.Election && a.progressOf(v.Id).match >= a.commit {
			vs := slices.Clone(a.voters)
			vs[i].Learner = false
			a.proposeVoters(now, vs)
			return
		}
	}
	a.removeUnreachable(now)
}

func (a *Node) proposeVoters(now time.Time, vs []Voter) {
	data, _ := cbor.Marshal(vs)
	a.append(now, Voters, data)
}

// Remove proposes a list without the named voter. It has no effect while another change
// of voters is pending.
func (a *Node) Remove(now time.Time, name string) ([]Effect, error) {
	if a.role != Leader {
		return nil, &NotLeaderError{Leader: a.voter(a.leader)}
	}
	a.effects = nil
	if !a.voterChangePending() {
		a.proposeVoters(now, lo.Filter(a.voters, func(v Voter, _ int) bool { return v.Name != name }))
	}
	return a.effects, nil
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

// VotingAddresses returns the addresses of the voters that are not learners. The result is
// empty until the first list of voters arrives, as after a start with an empty disk.
func (a *Node) VotingAddresses() []string {
	return lo.Map(a.voting(), func(v Voter, _ int) string { return v.Address })
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
