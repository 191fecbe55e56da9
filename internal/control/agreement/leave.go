package agreement

import (
	"time"

	"github.com/samber/lo"
)

// Leave is the state of a voter's departure from the list before a planned stop.
type Leave string

// The states of a departure.
const (
	// Staying voters have not asked to leave, or have no answer yet.
	Staying Leave = ""
	// Left voters have no vote any more.
	Left Leave = "Left"
	// Kept voters stay in the list: without them it would not bear further losses, and no learner
	// can take over.
	Kept Leave = "Kept"
)

// RequestLeave asks the leader to take this voter out of the list. It is repeated until Leaving
// returns another state than Staying.
func (a *Node) RequestLeave() []Effect {
	a.effects = nil
	switch {
	case !a.canVote():
		a.leave = Left
	case a.leader != "" && a.leader != a.settings.Self.Id:
		a.send(Message{Kind: LeaveRequest, To: a.leader})
	}
	return a.effects
}

// Leaving returns the state of this voter's departure.
func (a *Node) Leaving() Leave { return a.leave }

// isLeaving reports whether a voter has asked to leave within an election timeout.
func (a *Node) isLeaving(now time.Time, v Voter) bool {
	at, ok := a.leaveRequests[v.Id]
	return ok && now.Sub(at) < a.settings.Election
}

// receiveLeaveRequest takes a voter out of the list as soon as the list bears further losses
// without it, or a learner can replace it.
func (a *Node) receiveLeaveRequest(now time.Time, m Message) {
	if a.role != Leader {
		return
	}
	a.leaveRequests[m.From] = now
	a.updateVoters(now)
	if !a.canChangeVoters() {
		return
	}
	v := a.voter(m.From)
	hasVote := v.Id != "" && !v.Learner
	if hasVote && lo.ContainsBy(a.voters, func(l Voter) bool { return l.Learner && a.isReachable(now, l) }) {
		// The learner may take over as soon as it has the log.
		return
	}
	a.send(Message{Kind: LeaveResponse, To: m.From, Granted: !hasVote})
}

func (a *Node) receiveLeaveResponse(m Message) {
	a.leave = Kept
	if m.Granted {
		a.leave = Left
	}
}
