package agreement

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// append adds an entry to the leader's own log and sends it out.
func (a *Agreement) append(now time.Time, kind EntryKind, data []byte) Entry {
	e := Entry{Index: a.lastIndex() + 1, Term: a.vote.Term, Kind: kind, Data: data}
	a.entries = append(a.entries, e)
	a.noteVoters(e)
	a.persist(Persist{Entries: []Entry{e}})
	a.replicateIdle(now)
	return e
}

// replicateIdle sends to each follower that has no message under way.
func (a *Agreement) replicateIdle(now time.Time) {
	for _, v := range a.others() {
		if p := a.follow(v.Id); !p.pending {
			a.replicate(now, v.Id, p)
		}
	}
}

func (a *Agreement) follow(id string) *progress {
	p := a.progress[id]
	if p == nil {
		p = &progress{next: a.lastIndex() + 1}
		a.progress[id] = p
	}
	return p
}

// lead sends heartbeats, and gives up when a majority no longer answers.
func (a *Agreement) lead(now time.Time) {
	if now.Sub(a.lastBeat) < a.settings.Heartbeat {
		return
	}
	a.lastBeat = now
	if now.Sub(a.leaderSince) > a.settings.Election && now.Sub(a.leaseEnd(now)) > a.settings.Election {
		a.stepDown(now, a.vote.Term)
		return
	}
	for _, v := range a.others() {
		a.replicate(now, v.Id, a.follow(v.Id))
	}
	a.tendVoters(now)
}

// installEvery bounds how often a whole snapshot is sent to one follower.
const installEvery = 2 * time.Second

// replicate sends a follower what it lacks, one message at a time under way;
// a lost one is sent again with the next heartbeat.
func (a *Agreement) replicate(now time.Time, id string, p *progress) {
	previous := p.next - 1
	term, kept := a.termAt(previous)
	if !kept {
		a.install(now, id, p)
		return
	}
	p.pending = true
	p.commit = a.commit
	a.send(Message{
		Kind: Append, To: id, Index: previous, LogTerm: term, Commit: a.commit,
		Entries: a.entriesFrom(p.next, a.settings.EntriesPerMessage), Sent: now.UnixNano(),
	})
}

func (a *Agreement) install(now time.Time, id string, p *progress) {
	if now.Sub(p.installed) < installEvery {
		return
	}
	p.installed = now
	p.pending = true
	s := a.snapshot
	a.send(Message{Kind: Install, To: id, Snapshot: &s, Commit: a.commit, Sent: now.UnixNano()})
}

func (a *Agreement) heard(now time.Time, m Message) {
	a.leader = m.From
	a.heardFrom = now
	a.role = Follower
	a.preVoting = false
	a.resetDeadline(now)
}

func (a *Agreement) receiveAppend(now time.Time, m Message) {
	if a.role == Leader {
		panic(&BrokenPromiseError{Promise: "one leader a term"})
	}
	a.heard(now, m)
	if t, ok := a.termAt(m.Index); m.Index > a.snapshot.Index && (!ok || t != m.LogTerm) {
		a.send(Message{Kind: AppendAnswer, To: m.From, Index: min(a.lastIndex(), m.Index-1), Sent: m.Sent})
		return
	}
	fresh := a.take(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	answer := Message{Kind: AppendAnswer, To: m.From, Index: last, Granted: true, Sent: m.Sent}
	a.commit = max(a.commit, min(m.Commit, last))
	if len(fresh) == 0 && a.durable >= last {
		a.send(answer)
		return
	}
	a.persist(Persist{Entries: fresh, Then: []Message{answer}})
}

// take adds entries to the log and returns those that were not there.
func (a *Agreement) take(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index <= a.snapshot.Index {
			continue
		}
		if t, ok := a.termAt(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= a.commit {
			panic(&BrokenPromiseError{Promise: "an accepted change is never replaced"})
		}
		a.entries = append(a.entries[:e.Index-a.snapshot.Index-1], entries[i:]...)
		a.durable = min(a.durable, e.Index-1)
		a.findVoters()
		return slices.Clone(entries[i:])
	}
	return nil
}

func (a *Agreement) receiveInstall(now time.Time, m Message) {
	a.heard(now, m)
	s := *m.Snapshot
	answer := Message{Kind: AppendAnswer, To: m.From, Index: s.Index, Granted: true, Sent: m.Sent}
	if s.Index <= a.commit {
		a.send(answer)
		return
	}
	a.snapshot, a.entries = s, nil
	a.commit, a.applied = s.Index, s.Index
	a.durable = 0
	a.findVoters()
	a.effects = append(a.effects, Effect{Restore: &s})
	a.persistSnapshot(answer)
}

func (a *Agreement) receiveAppendAnswer(now time.Time, m Message) {
	if a.role != Leader {
		return
	}
	p := a.follow(m.From)
	p.pending = false
	if sent := time.Unix(0, m.Sent); sent.After(p.answered) {
		p.answered = sent
	}
	if !m.Granted {
		p.next = max(min(m.Index+1, p.next-1), 1)
		a.replicate(now, m.From, p)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	a.advance(now)
	a.tellCommit(now)
}

// tellCommit sends followers what they lack, news of acceptance included: a
// follower that learned of it with the next heartbeat only kept the balancers
// that follow it waiting for a quarter of a second.
func (a *Agreement) tellCommit(now time.Time) {
	for _, v := range a.others() {
		p := a.follow(v.Id)
		if !p.pending && (p.next <= a.lastIndex() || p.commit < a.commit) {
			a.replicate(now, v.Id, p)
		}
	}
}

// advance accepts what a majority has synced, in the leader's own term only:
// an older entry on a majority may still be replaced (Ongaro, 2014, 3.6.2).
func (a *Agreement) advance(now time.Time) {
	matches := lo.FilterMap(a.voters, func(v Voter, _ int) (uint64, bool) {
		if v.Id == a.settings.Self.Id {
			return a.durable, !v.Learner
		}
		return a.follow(v.Id).match, !v.Learner
	})
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if t, ok := a.termAt(index); !ok || t != a.vote.Term || index <= a.commit {
		return
	}
	a.commit = index
	if !a.mayVote() && a.votersAt <= a.commit {
		a.stepDown(now, a.vote.Term)
	}
}
