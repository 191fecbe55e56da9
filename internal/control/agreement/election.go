package agreement

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// sayHello asks to be founded, or to be taken into the list.
func (a *Agreement) sayHello(now time.Time) {
	if now.Sub(a.lastBeat) < a.settings.Heartbeat {
		return
	}
	a.lastBeat = now
	told := map[string]bool{a.settings.Self.Name: true}
	for _, f := range slices.Concat(a.settings.Founders, a.settings.Meet, a.voters) {
		if !told[f.Name] {
			told[f.Name] = true
			a.send(Message{Kind: Hello, To: f.Name, Voter: a.settings.Self, Granted: a.role != Unfounded})
		}
	}
	a.found(now)
}

// found writes the first list of voters, once every founder is known to be
// empty: a founder that is silent may hold a log already.
func (a *Agreement) found(now time.Time) {
	if a.role != Unfounded || a.settings.Joins {
		return
	}
	voters := []Voter{a.settings.Self}
	for _, f := range a.settings.Founders {
		if f.Name == a.settings.Self.Name {
			continue
		}
		h, ok := a.hellos[f.Name]
		if !ok || h.founded || now.Sub(h.heard) > a.settings.Election || f.Name < a.settings.Self.Name {
			return
		}
		voters = append(voters, h.voter)
	}
	if len(a.settings.Founders) == 0 {
		return
	}
	a.foundWith(now, voters)
	for _, v := range voters[1:] {
		a.send(Message{Kind: Found, To: v.Id, Voters: voters})
	}
}

func (a *Agreement) foundWith(now time.Time, voters []Voter) {
	data, _ := cbor.Marshal(voters)
	a.role = Follower
	a.vote = Vote{Term: 1}
	e := Entry{Index: 1, Term: 1, Kind: Voters, Data: data}
	a.entries = []Entry{e}
	a.noteVoters(e)
	v := a.vote
	a.persist(Persist{Vote: &v, Entries: []Entry{e}})
	a.resetDeadline(now)
}

func (a *Agreement) receive(now time.Time, m Message) {
	if m.To != a.settings.Self.Id && m.To != a.settings.Self.Name {
		// A voter whose disk was replaced is still in the list under its former
		// id, at the same address: a leader would take its own message to that
		// one for another leader's.
		return
	}
	switch m.Kind {
	case Hello:
		a.receiveHello(now, m)
		return
	case Found:
		a.receiveFound(now, m)
		return
	case PreVote:
		a.receivePreVote(now, m)
		return
	case PreVoteAnswer:
		a.receivePreVoteAnswer(now, m)
		return
	}
	if m.Kind == RequestVote && a.trustsLeader(now) && !m.Granted {
		// A majority that still hears its leader keeps it, and so keeps the
		// promise that the leader's lease rests on.
		return
	}
	if m.Term > a.vote.Term {
		a.stepDown(now, m.Term)
	}
	if m.Term < a.vote.Term {
		a.rejectOld(m)
		return
	}
	switch m.Kind {
	case RequestVote:
		a.receiveRequestVote(now, m)
	case VoteAnswer:
		a.receiveVoteAnswer(now, m)
	case Append:
		a.receiveAppend(now, m)
	case Install:
		a.receiveInstall(now, m)
	case AppendAnswer:
		a.receiveAppendAnswer(now, m)
	case Elect:
		a.receiveElect(now, m)
	case Hello, Found, PreVote, PreVoteAnswer:
	}
}

// rejectOld tells a leader of an older term that it leads no more.
func (a *Agreement) rejectOld(m Message) {
	if m.Kind == Append || m.Kind == Install {
		a.send(Message{Kind: AppendAnswer, To: m.From, Index: a.lastIndex()})
	}
}

func (a *Agreement) receiveHello(now time.Time, m Message) {
	a.hellos[m.Voter.Name] = hello{voter: m.Voter, founded: m.Granted, heard: now}
	switch {
	case a.role == Leader:
		a.admit(now, m.Voter)
	case a.leader != "" && m.Index == 0 && a.trustsLeader(now):
		// A newcomer may know none of the voters that lead; Index marks a hello
		// that was passed on, so that two voters do not pass it to and fro.
		a.send(Message{Kind: Hello, To: a.leader, Voter: m.Voter, Granted: m.Granted, Index: 1})
	}
	if !m.Granted && a.lastIndex() == 1 && a.voter(m.Voter.Id).Id != "" {
		// The founding message to this voter was lost: without another one it
		// would never take part.
		a.send(Message{Kind: Found, To: m.Voter.Id, Voters: a.voters})
	}
}

func (a *Agreement) receiveFound(now time.Time, m Message) {
	if a.role != Unfounded {
		return
	}
	for _, v := range m.Voters {
		h, ok := a.hellos[v.Name]
		// A list that names another life of any founder is an old one: its disk
		// was replaced since, and a newer list may be under way.
		if v.Name != a.settings.Self.Name && (!ok || h.voter.Id != v.Id) {
			return
		}
		if v.Name == a.settings.Self.Name && v.Id != a.settings.Self.Id {
			return
		}
	}
	a.foundWith(now, m.Voters)
}

func (a *Agreement) trustsLeader(now time.Time) bool {
	if a.role == Leader {
		return now.Before(a.leaseEnd(now))
	}
	return a.leader != "" && now.Sub(a.heardFrom) < a.settings.Election
}

func (a *Agreement) stepDown(now time.Time, term uint64) {
	if term > a.vote.Term {
		a.setVote(term, "")
	}
	if a.role != Unfounded {
		a.role = Follower
	}
	a.leader = ""
	a.preVoting = false
	a.resetDeadline(now)
}

// startPreVote asks first, so that a voter that was cut off does not raise
// everyone's term when it comes back.
func (a *Agreement) startPreVote(now time.Time) {
	a.resetDeadline(now)
	a.leader = ""
	a.role = Candidate
	a.preVoting = true
	a.votes = map[string]bool{a.settings.Self.Id: true}
	for _, v := range a.others() {
		a.send(Message{
			Kind: PreVote, To: v.Id, Term: a.vote.Term + 1, Index: a.lastIndex(), LogTerm: a.lastTerm(),
			Voter: a.settings.Self,
		})
	}
	a.checkPreVotes(now)
}

func (a *Agreement) upToDate(m Message) bool {
	if m.LogTerm != a.lastTerm() {
		return m.LogTerm > a.lastTerm()
	}
	return m.Index >= a.lastIndex()
}

func (a *Agreement) receivePreVote(now time.Time, m Message) {
	if a.voter(m.From).Id == "" && m.Voter.Id != "" && a.role != Unfounded {
		// A voter that was replaced while it was cut off still believes in the
		// old list and asks for votes for ever; it is taken in again.
		a.receiveHello(now, Message{Kind: Hello, From: m.From, Voter: m.Voter, Granted: true})
	}
	granted := !a.trustsLeader(now) && m.Term > a.vote.Term && a.upToDate(m)
	term := a.vote.Term
	if granted {
		term = m.Term
	}
	a.send(Message{Kind: PreVoteAnswer, To: m.From, Term: term, Granted: granted})
}

func (a *Agreement) receivePreVoteAnswer(now time.Time, m Message) {
	if !m.Granted && m.Term > a.vote.Term {
		// Without this a voter with the best log and an old term would be
		// denied for ever by one with a newer term and a worse log.
		a.stepDown(now, m.Term)
		return
	}
	if a.role != Candidate || !a.preVoting || !m.Granted || m.Term != a.vote.Term+1 {
		return
	}
	a.votes[m.From] = true
	a.checkPreVotes(now)
}

func (a *Agreement) votesCounted() int {
	return lo.CountBy(a.voters, func(v Voter) bool { return !v.Learner && a.votes[v.Id] })
}

func (a *Agreement) checkPreVotes(now time.Time) {
	if a.votesCounted() >= a.quorum() {
		a.campaign(now, false)
	}
}

// HandOver lets a leader that is about to stop give up, and asks the follower
// that has most of the log to take over: waiting for its silence to be noticed
// would stop all changes for an election's time at each planned stop.
func (a *Agreement) HandOver(now time.Time) []Effect {
	a.effects = nil
	if a.role != Leader {
		return nil
	}
	followers := lo.Filter(a.voting(), func(v Voter, _ int) bool {
		return v.Id != a.settings.Self.Id && a.silence(now, v) < a.settings.Election
	})
	a.stepDown(now, a.vote.Term)
	if len(followers) > 0 {
		next := lo.MaxBy(followers, func(x, y Voter) bool { return a.follow(x.Id).match > a.follow(y.Id).match })
		a.send(Message{Kind: Elect, To: next.Id})
	}
	return a.effects
}

func (a *Agreement) receiveElect(now time.Time, m Message) {
	if a.role == Follower && a.leader == m.From && a.mayVote() {
		a.role = Candidate
		a.campaign(now, true)
	}
}

// campaign asks for votes in a new term; a handover has no leader to respect.
func (a *Agreement) campaign(now time.Time, handover bool) {
	a.preVoting = false
	a.leader = ""
	a.resetDeadline(now)
	term := a.vote.Term + 1
	a.votes = map[string]bool{}
	requests := lo.Map(a.others(), func(v Voter, _ int) Message {
		return Message{Kind: RequestVote, To: v.Id, Index: a.lastIndex(), LogTerm: a.lastTerm(), Granted: handover}
	})
	// The own vote travels as a message too: it counts once it is synced.
	requests = append(requests, Message{Kind: VoteAnswer, To: a.settings.Self.Id, Granted: true})
	a.setVote(term, a.settings.Self.Id, requests...)
}

// receiveRequestVote votes whether or not the own log says that this voter has a
// vote: the candidate counts the voters of its own list. One that is in it but
// has not got that list yet would otherwise be missing in the majority for ever.
// A replaced disk cannot vote in its predecessor's name, its id is another.
func (a *Agreement) receiveRequestVote(now time.Time, m Message) {
	free := a.vote.For == "" || a.vote.For == m.From
	if !free || !a.upToDate(m) || a.role == Leader {
		return
	}
	a.resetDeadline(now)
	a.setVote(m.Term, m.From, Message{Kind: VoteAnswer, To: m.From, Granted: true})
}

func (a *Agreement) receiveVoteAnswer(now time.Time, m Message) {
	if a.role != Candidate || a.preVoting || !m.Granted {
		return
	}
	a.votes[m.From] = true
	if a.votesCounted() < a.quorum() {
		return
	}
	a.role, a.leader, a.leaderSince = Leader, a.settings.Self.Id, now
	a.progress = map[string]*progress{}
	e := a.append(now, Empty, nil)
	a.leaderFrom = e.Index
}
