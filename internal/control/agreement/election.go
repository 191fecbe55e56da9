package agreement

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// tickWithoutVote requests to join, unless a leader sends the log to this voter as a learner.
func (a *Node) tickWithoutVote(now time.Time) {
	if a.self().Learner && a.hasActiveLeader(now) {
		return
	}
	a.sendJoinRequests(now)
}

// sendJoinRequests requests that the cluster be bootstrapped, or that this voter be added to it.
func (a *Node) sendJoinRequests(now time.Time) {
	if now.Sub(a.lastSent) < a.settings.Heartbeat {
		return
	}
	a.lastSent = now
	contacted := map[string]bool{a.settings.Self.Name: true}
	for _, f := range slices.Concat(a.settings.Founders, a.settings.JoinTargets, a.voters) {
		if !contacted[f.Name] {
			contacted[f.Name] = true
			a.send(Message{Kind: JoinRequest, To: f.Name, Voter: a.settings.Self, Granted: a.role != Unfounded})
		}
	}
	a.bootstrap(now)
}

// bootstrap writes the initial list of voters once all founders have reported an
// empty disk: a founder that does not respond may already hold a log. Only the
// founder whose name sorts first writes the list.
func (a *Node) bootstrap(now time.Time) {
	if a.role != Unfounded || a.settings.JoinOnly {
		return
	}
	voters := []Voter{a.settings.Self}
	for _, f := range a.settings.Founders {
		if f.Name == a.settings.Self.Name {
			continue
		}
		j, ok := a.joinRequests[f.Name]
		if !ok || j.bootstrapped || now.Sub(j.receivedAt) > a.settings.Election || f.Name < a.settings.Self.Name {
			return
		}
		voters = append(voters, j.voter)
	}
	if len(a.settings.Founders) == 0 {
		return
	}
	a.bootstrapWith(now, voters)
	for _, v := range voters[1:] {
		a.send(Message{Kind: Bootstrap, To: v.Id, Voters: voters})
	}
}

func (a *Node) bootstrapWith(now time.Time, voters []Voter) {
	data, _ := cbor.Marshal(voters)
	a.role = Follower
	a.vote = Vote{Term: 1}
	e := Entry{Index: 1, Term: 1, Kind: Voters, Data: data}
	a.entries = []Entry{e}
	a.adoptVoters(e)
	v := a.vote
	a.persist(Persist{Vote: &v, Entries: []Entry{e}})
	a.resetElectionDeadline(now)
}

func (a *Node) receive(now time.Time, m Message) {
	if m.To != a.settings.Self.Id && m.To != a.settings.Self.Name {
		// A voter whose disk was replaced remains in the list under its former id
		// and the same address. Without this check, if such a voter became the leader, it
		// would treat its own messages to the former id as those of another leader.
		return
	}
	switch m.Kind {
	case JoinRequest:
		a.receiveJoinRequest(now, m)
		return
	case Bootstrap:
		a.receiveBootstrap(now, m)
		return
	case PreVote:
		a.receivePreVote(now, m)
		return
	case PreVoteResponse:
		a.receivePreVoteResponse(now, m)
		return
	case LeaveRequest:
		a.receiveLeaveRequest(now, m)
		return
	case LeaveResponse:
		a.receiveLeaveResponse(m)
		return
	}
	if m.Kind == RequestVote && a.hasActiveLeader(now) && !m.Granted {
		// The leader's lease relies on voters that ignore vote requests while
		// they have an active leader.
		return
	}
	if m.Term > a.vote.Term {
		a.stepDown(now, m.Term)
	}
	if m.Term < a.vote.Term {
		a.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case RequestVote:
		a.receiveRequestVote(now, m)
	case VoteResponse:
		a.receiveVoteResponse(now, m)
	case AppendEntries:
		a.receiveAppendEntries(now, m)
	case InstallSnapshot:
		a.receiveInstallSnapshot(now, m)
	case AppendEntriesResponse:
		a.receiveAppendEntriesResponse(now, m)
	case TimeoutNow:
		a.receiveTimeoutNow(now, m)
	case JoinRequest, Bootstrap, PreVote, PreVoteResponse, LeaveRequest, LeaveResponse:
	}
}

// rejectStaleTerm informs a leader of an older term that its term is over.
func (a *Node) rejectStaleTerm(m Message) {
	if m.Kind == AppendEntries || m.Kind == InstallSnapshot {
		a.send(Message{Kind: AppendEntriesResponse, To: m.From, Index: a.lastIndex()})
	}
}

func (a *Node) receiveJoinRequest(now time.Time, m Message) {
	a.joinRequests[m.Voter.Name] = joinRequest{voter: m.Voter, bootstrapped: m.Granted, receivedAt: now}
	switch {
	case a.role == Leader:
		a.addLearner(now, m.Voter)
	case a.leader != "" && m.Index == 0 && a.hasActiveLeader(now):
		// The new voter may not know the leader, so the request is forwarded. Index 1
		// marks it as forwarded, so that two voters do not forward it in a loop.
		a.send(Message{Kind: JoinRequest, To: a.leader, Voter: m.Voter, Granted: m.Granted, Index: 1})
	}
	if !m.Granted && a.lastIndex() == 1 && a.voter(m.Voter.Id).Id != "" {
		// The Bootstrap message to the sender was lost. Without a retry the sender
		// would never join.
		a.send(Message{Kind: Bootstrap, To: m.Voter.Id, Voters: a.list.Next})
	}
}

func (a *Node) receiveBootstrap(now time.Time, m Message) {
	if a.role != Unfounded {
		return
	}
	for _, v := range m.Voters {
		j, ok := a.joinRequests[v.Name]
		// A list that contains a founder's former id is stale: the founder's disk has
		// been replaced since, and a newer list may be in flight.
		if v.Name != a.settings.Self.Name && (!ok || j.voter.Id != v.Id) {
			return
		}
		if v.Name == a.settings.Self.Name && v.Id != a.settings.Self.Id {
			return
		}
	}
	a.bootstrapWith(now, m.Voters)
}

// hasActiveLeader reports whether a message from the leader arrived within the minimum
// election timeout. On the leader itself, it reports whether the lease holds.
func (a *Node) hasActiveLeader(now time.Time) bool {
	if a.role == Leader {
		return now.Before(a.leaseEnd(now))
	}
	return a.leader != "" && now.Sub(a.lastLeaderContact) < a.settings.Election
}

func (a *Node) stepDown(now time.Time, term uint64) {
	if term > a.vote.Term {
		a.setVote(term, "")
	}
	if a.role != Unfounded {
		a.role = Follower
	}
	a.leader = ""
	a.preVoting = false
	a.resetElectionDeadline(now)
}

// startPreVote requests pre-votes, so that a voter that returns from a partition
// does not raise the term of all others.
func (a *Node) startPreVote(now time.Time) {
	a.resetElectionDeadline(now)
	a.leader = ""
	a.role = Candidate
	a.preVoting = true
	a.votes = map[string]bool{a.settings.Self.Id: true}
	for _, v := range a.peers() {
		a.send(Message{
			Kind: PreVote, To: v.Id, Term: a.vote.Term + 1, Index: a.lastIndex(), LogTerm: a.lastTerm(),
			Voter: a.settings.Self,
		})
	}
	a.checkPreVotes(now)
}

// isUpToDate reports whether the sender's log is at least as up-to-date as this voter's.
func (a *Node) isUpToDate(m Message) bool {
	if m.LogTerm != a.lastTerm() {
		return m.LogTerm > a.lastTerm()
	}
	return m.Index >= a.lastIndex()
}

func (a *Node) receivePreVote(now time.Time, m Message) {
	if a.voter(m.From).Id == "" && m.Voter.Id != "" && a.role != Unfounded {
		// A voter that was removed during a partition still has the old list and
		// requests votes indefinitely. Treat the request as a join request.
		a.receiveJoinRequest(now, Message{Kind: JoinRequest, From: m.From, Voter: m.Voter, Granted: true})
	}
	granted := !a.hasActiveLeader(now) && m.Term > a.vote.Term && a.isUpToDate(m)
	term := a.vote.Term
	if granted {
		term = m.Term
	}
	a.send(Message{Kind: PreVoteResponse, To: m.From, Term: term, Granted: granted})
}

func (a *Node) receivePreVoteResponse(now time.Time, m Message) {
	if !m.Granted && m.Term > a.vote.Term {
		// Adopt the newer term. Otherwise a voter with a newer term and a shorter log
		// would always reject the voter with the most complete log.
		a.stepDown(now, m.Term)
		return
	}
	if a.role != Candidate || !a.preVoting || !m.Granted || m.Term != a.vote.Term+1 {
		return
	}
	a.votes[m.From] = true
	a.checkPreVotes(now)
}

func (a *Node) hasQuorumOfVotes() bool {
	return a.list.hasQuorum(func(id string) bool { return a.votes[id] })
}

func (a *Node) checkPreVotes(now time.Time) {
	if a.hasQuorumOfVotes() {
		a.campaign(now, false)
	}
}

// TransferLeadership transfers leadership to the follower with the most complete log.
// It is called before a planned stop, which would otherwise block all changes for an
// election timeout.
func (a *Node) TransferLeadership(now time.Time) []Effect {
	a.effects = nil
	if a.role != Leader {
		return nil
	}
	followers := lo.Filter(a.voting(), func(v Voter, _ int) bool {
		return v.Id != a.settings.Self.Id && a.timeSinceAck(now, v) < a.settings.Election
	})
	a.stepDown(now, a.vote.Term)
	if len(followers) > 0 {
		next := lo.MaxBy(followers, func(x, y Voter) bool { return a.progressOf(x.Id).match > a.progressOf(y.Id).match })
		a.send(Message{Kind: TimeoutNow, To: next.Id})
	}
	return a.effects
}

func (a *Node) receiveTimeoutNow(now time.Time, m Message) {
	if a.role == Follower && a.leader == m.From && a.canVote() {
		a.role = Candidate
		a.campaign(now, true)
	}
}

// campaign requests votes in a new term. In a leadership transfer, voters grant their
// votes even though the leader was active recently.
func (a *Node) campaign(now time.Time, transfer bool) {
	a.preVoting = false
	a.leader = ""
	a.resetElectionDeadline(now)
	term := a.vote.Term + 1
	a.votes = map[string]bool{}
	requests := lo.Map(a.peers(), func(v Voter, _ int) Message {
		return Message{Kind: RequestVote, To: v.Id, Index: a.lastIndex(), LogTerm: a.lastTerm(), Granted: transfer}
	})
	// The candidate's own vote is also sent as a message, so that it counts only after it is
	// synced to disk.
	requests = append(requests, Message{Kind: VoteResponse, To: a.settings.Self.Id, Granted: true})
	a.setVote(term, a.settings.Self.Id, requests...)
}

// receiveRequestVote grants votes even if this voter's own log lists it as a learner or not
// at all: the candidate's list of voters decides. Otherwise an election could fail forever if
// it needs the vote of a voter that was just promoted and has not received the new list yet.
// A voter with a replaced disk has a new id, so its vote never counts for the former id.
func (a *Node) receiveRequestVote(now time.Time, m Message) {
	canGrant := a.vote.For == "" || a.vote.For == m.From
	if !canGrant || !a.isUpToDate(m) || a.role == Leader {
		return
	}
	a.resetElectionDeadline(now)
	a.setVote(m.Term, m.From, Message{Kind: VoteResponse, To: m.From, Granted: true})
}

func (a *Node) receiveVoteResponse(now time.Time, m Message) {
	if a.role != Candidate || a.preVoting || !m.Granted {
		return
	}
	a.votes[m.From] = true
	if !a.hasQuorumOfVotes() {
		return
	}
	a.role, a.leader, a.leaderSince = Leader, a.settings.Self.Id, now
	a.progress = map[string]*progress{}
	e := a.append(now, NoOp, nil)
	a.termStartIndex = e.Index
}
