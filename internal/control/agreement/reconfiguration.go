package agreement

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

const (
	// replaceAfterElections is the number of election timeouts after which an unreachable voter
	// is replaced by a learner, which costs no tolerance if the voter is alive.
	replaceAfterElections = 2
	// removeAfterElections is the number of election timeouts after which an unreachable voter
	// is removed without a replacement.
	removeAfterElections = 5
	// forgetAfterElections is the number of election timeouts after which an unreachable
	// learner is dropped. A learner acknowledges nothing while it receives a snapshot.
	forgetAfterElections = 50
)

// addLearner adds a voter to the list as a learner, unless the list contains it already.
// updateVoters promotes the learner once it has the log.
func (a *Node) addLearner(now time.Time, v Voter) {
	if !a.canChangeVoters() || a.voter(v.Id).Id != "" {
		return
	}
	reachable := func(o Voter) bool { return o.Name == v.Name && a.timeSinceAck(now, o) < 2*a.settings.Election }
	if lo.ContainsBy(a.voters, reachable) {
		// The existing voter of that name is reachable: two processes share a name by a
		// configuration mistake, and no disk was replaced.
		return
	}
	delete(a.leaveRequests, v.Id)
	v.Learner = true
	others := lo.Reject(a.voters, func(o Voter, _ int) bool { return o.Learner && o.Name == v.Name })
	a.changeVoters(now, append(others, v))
}

// canChangeVoters reports whether this leader may propose a list of voters: the last change is
// committed, and so is an entry of the leader's own term.
func (a *Node) canChangeVoters() bool {
	return a.role == Leader && a.votersAt <= a.commit && a.commit >= a.termStartIndex && !a.list.joint()
}

// changeVoters proposes a list of voters: in one step if at most one voter joins or leaves, and
// by joint consensus otherwise.
func (a *Node) changeVoters(now time.Time, next []Voter) {
	left, joined := lo.Difference(votingIds(a.list.Next), votingIds(next))
	if len(left)+len(joined) <= 1 {
		a.proposeVoters(now, next)
		return
	}
	data, _ := cbor.Marshal(voterList{Next: next, Previous: a.list.Next})
	a.append(now, JointVoters, data)
}

func (a *Node) proposeVoters(now time.Time, vs []Voter) {
	data, _ := cbor.Marshal(vs)
	a.append(now, Voters, data)
}

// leaveJoint ends joint consensus once both lists have committed it. The next list takes
// effect, unless a joining voter does not respond while the leaving ones do.
func (a *Node) leaveJoint(now time.Time) {
	if a.role != Leader || !a.list.joint() || a.votersAt > a.commit || a.commit < a.termStartIndex {
		return
	}
	left, joined := lo.Difference(votingIds(a.list.Previous), votingIds(a.list.Next))
	joinedRespond := lo.EveryBy(joined, func(id string) bool { return a.isReachable(now, a.voter(id)) })
	leftRespond := lo.EveryBy(left, func(id string) bool {
		return a.isReachable(now, a.voter(id)) && a.progressOf(id).match > 0
	})
	if joinedRespond || !leftRespond {
		a.proposeVoters(now, a.list.Next)
		return
	}
	a.proposeVoters(now, a.list.Previous)
}

// updateVoters proposes the next change of the list of voters, if any.
//
// An acknowledgement only shows that a voter was alive when it was sent. So at each step a
// majority has to remain even if the promoted learner, the voter it succeeds and
// Tolerate - 1 others are lost. A learner therefore replaces a voter that is lost, in one
// change by joint consensus. It joins beside the present voters only if the list bears
// the loss of both.
func (a *Node) updateVoters(now time.Time) {
	if !a.canChangeVoters() {
		return
	}
	ready := a.readyLearners(now)
	for _, decide := range []func(time.Time, []Voter) ([]Voter, bool){
		a.replaceFormerId, a.replaceUnreachable, a.grow, a.removeUnreachable, a.forgetLearners,
	} {
		if next, ok := decide(now, ready); ok {
			a.changeVoters(now, next)
			return
		}
	}
}

func (a *Node) isReachable(now time.Time, v Voter) bool {
	return v.Id == a.settings.Self.Id || a.timeSinceAck(now, v) < a.settings.Election
}

// readyLearners returns the learners that have the committed log. A learner that shares its name
// with a reachable voter is none of them (see addLearner).
func (a *Node) readyLearners(now time.Time) []Voter {
	return lo.Filter(a.voters, func(l Voter, _ int) bool {
		return l.Learner && a.isReachable(now, l) && !a.isLeaving(now, l) && a.progressOf(l.Id).match >= a.commit &&
			!lo.ContainsBy(a.voting(), func(v Voter) bool { return v.Name == l.Name && a.isReachable(now, v) })
	})
}

// replaceFormerId replaces the former id of a voter whose disk was lost by its present id.
func (a *Node) replaceFormerId(now time.Time, ready []Voter) ([]Voter, bool) {
	for _, l := range ready {
		if former, ok := lo.Find(a.voting(), func(v Voter) bool { return v.Name == l.Name }); ok {
			return a.replace(former, l), true
		}
	}
	return nil, false
}

// replaceUnreachable replaces a voter that leaves, or the one that has been unreachable the longest.
func (a *Node) replaceUnreachable(now time.Time, ready []Voter) ([]Voter, bool) {
	if len(ready) == 0 {
		return nil, false
	}
	v, ok := a.longestGone(now, func(Voter) time.Duration { return replaceAfterElections * a.settings.Election })
	if !ok {
		return nil, false
	}
	return a.replace(v, ready[0]), true
}

// replace returns the list in which a learner has replaced a voter. While voters of builds
// without joint consensus take part, the voter is removed first, so that each change is of one
// voter.
func (a *Node) replace(v, l Voter) []Voter {
	others := lo.Reject(a.voters, func(o Voter, _ int) bool { return o.Id == v.Id })
	if !a.supportJoint(append(a.voting(), l), v) {
		return others
	}
	return promote(others, []Voter{l})
}

func promote(vs, learners []Voter) []Voter {
	next := slices.Clone(vs)
	for i := range next {
		if lo.ContainsBy(learners, func(l Voter) bool { return l.Id == next[i].Id }) {
			next[i].Learner = false
		}
	}
	return next
}

// supportJoint reports whether all of the voters, except the one that leaves, are known to
// support joint consensus.
func (a *Node) supportJoint(vs []Voter, leaving Voter) bool {
	return lo.EveryBy(vs, func(v Voter) bool {
		return v.Id == a.settings.Self.Id || v.Id == leaving.Id || a.progressOf(v.Id).version > 0
	})
}

// grow promotes as many learners at once as the list of voters bears.
func (a *Node) grow(now time.Time, ready []Voter) ([]Voter, bool) {
	voting := a.voting()
	allReachable := lo.EveryBy(voting, func(v Voter) bool { return a.isReachable(now, v) })
	if !a.tolerates(len(voting), a.settings.Tolerate) {
		return promote(a.voters, lo.Slice(ready, 0, 1)), allReachable && len(ready) > 0
	}
	for n := len(ready); n > 0; n-- {
		// A learner may succeed a voter that is already gone: together they count as one loss. If
		// all voters are reachable, at most one of them is taken to be gone.
		unnoticed := min(n, a.settings.Tolerate)
		if allReachable {
			unnoticed = 1
		}
		bears := a.tolerates(len(voting)+n, a.settings.Tolerate+unnoticed)
		if bears && (n == 1 || a.supportJoint(append(voting, ready[:n]...), Voter{})) {
			return promote(a.voters, ready[:n]), true
		}
	}
	return nil, false
}

// tolerates reports whether a majority of n voters remains after a number of losses.
func (a *Node) tolerates(n, losses int) bool { return n-losses >= majorityOf(n) }

// removeUnreachable removes a voter that leaves, or the one that has been unreachable the longest, so
// that a deleted VM does not count towards the majority forever. A removed voter that
// returns is added again. Enough voters stay in the list to retain a majority after
// Tolerate losses. If Tolerate is 2 and two of six voters are partitioned for some
// seconds, the loss of two disks among the other four must not be fatal.
func (a *Node) removeUnreachable(now time.Time, _ []Voter) ([]Voter, bool) {
	if !a.tolerates(len(a.voting())-1, a.settings.Tolerate) {
		return nil, false
	}
	v, ok := a.longestGone(now, a.removalTimeout)
	return lo.Reject(a.voters, func(o Voter, _ int) bool { return o.Id == v.Id }), ok
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

// longestGone returns a voter that leaves, or else the one that has been unreachable the longest. It
// returns false if no voter leaves and none has been unreachable for its timeout.
func (a *Node) longestGone(now time.Time, timeoutOf func(Voter) time.Duration) (Voter, bool) {
	others := lo.Filter(a.voting(), func(v Voter, _ int) bool { return v.Id != a.settings.Self.Id })
	if v, ok := lo.Find(others, func(v Voter) bool { return a.isLeaving(now, v) }); ok {
		return v, true
	}
	unreachable := lo.Filter(others, func(v Voter, _ int) bool { return a.timeSinceAck(now, v) >= timeoutOf(v) })
	return lo.MaxBy(unreachable, func(x, y Voter) bool { return a.timeSinceAck(now, x) > a.timeSinceAck(now, y) }), len(unreachable) > 0
}

// forgetLearners drops the learners that have been unreachable for long.
func (a *Node) forgetLearners(now time.Time, _ []Voter) ([]Voter, bool) {
	next := lo.Reject(a.voters, func(v Voter, _ int) bool {
		return v.Learner && a.timeSinceAck(now, v) >= forgetAfterElections*a.settings.Election
	})
	return next, len(next) < len(a.voters)
}

// Remove proposes a list without the named voter. It has no effect while another change
// of voters is pending.
func (a *Node) Remove(now time.Time, name string) ([]Effect, error) {
	if a.role != Leader {
		return nil, &NotLeaderError{Leader: a.voter(a.leader)}
	}
	a.effects = nil
	if a.canChangeVoters() {
		a.changeVoters(now, lo.Reject(a.voters, func(v Voter, _ int) bool { return v.Name == name }))
	}
	return a.effects, nil
}
