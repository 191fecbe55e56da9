package agreement

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// append adds an entry to the leader's own log and sends it out.
func (a *Agreement) append(now time.Time, kind EntryKind, data []byte) Entry {
	e := Entry{Index: a.lastIndex() + 1, Term: a.vote.Term, Kind: kind, Data: data}
	a.entries = append(a.entries, e)
	a.noteVoters(e)
	a.persist(Persist{Entries: []Entry{e}})
	for _, v := range a.others() {
		if p := a.follow(v.Id); !p.pending {
			a.replicate(now, v.Id, p)
		}
	}
	return e
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
