package agreement

import (
	"slices"
	"time"
)

// append adds an entry to the leader's log and replicates it.
func (a *Node) append(now time.Time, kind EntryKind, data []byte) Entry {
	e := Entry{Index: a.lastIndex() + 1, Term: a.vote.Term, Kind: kind, Data: data}
	a.entries = append(a.entries, e)
	a.adoptVoters(e)
	a.persist(Persist{Entries: []Entry{e}})
	a.replicateIdle(now)
	return e
}

// replicateIdle sends missing entries to each follower without a message in flight.
func (a *Node) replicateIdle(now time.Time) {
	for _, v := range a.peers() {
		if p := a.progressOf(v.Id); !p.pending {
			a.replicate(now, v.Id, p)
		}
	}
}

// progressOf returns the progress of a follower, created on first use.
func (a *Node) progressOf(id string) *progress {
	p := a.progress[id]
	if p == nil {
		p = &progress{next: a.lastIndex() + 1}
		a.progress[id] = p
	}
	return p
}

// tickLeader sends heartbeats, and steps down if a majority does not respond.
func (a *Node) tickLeader(now time.Time) {
	if now.Sub(a.lastSent) < a.settings.Heartbeat {
		return
	}
	a.lastSent = now
	if now.Sub(a.leaderSince) > a.settings.Election && now.Sub(a.leaseEnd(now)) > a.settings.Election {
		a.stepDown(now, a.vote.Term)
		return
	}
	for _, v := range a.peers() {
		a.replicate(now, v.Id, a.progressOf(v.Id))
	}
	a.leaveJoint(now)
	a.updateVoters(now)
}

// snapshotInterval is the minimum time between two snapshots sent to a follower.
const snapshotInterval = 2 * time.Second

// replicate sends a follower its missing entries or, if the log no longer holds them, the
// snapshot. Further entries wait until the message is acknowledged; a lost message is sent
// again with the next heartbeat.
func (a *Node) replicate(now time.Time, id string, p *progress) {
	previous := p.next - 1
	term, kept := a.termAt(previous)
	if !kept {
		a.sendSnapshot(now, id, p)
		return
	}
	p.pending = true
	p.sentCommit = a.commit
	var entries []Entry
	if !a.withholdsEntries(id, p) {
		entries = a.entriesFrom(p.next, a.settings.EntriesPerMessage)
	}
	a.send(Message{
		Kind: AppendEntries, To: id, Index: previous, LogTerm: term, Commit: a.commit,
		Entries: entries, Sent: now.UnixNano(),
	})
}

// withholdsEntries reports whether a follower receives heartbeats without entries: an outgoing
// voter whose build may not know JointVoters entries. With such an entry in its log, it could
// win an election by the votes of the previous list alone.
func (a *Node) withholdsEntries(id string, p *progress) bool {
	return p.version == 0 && a.list.outgoing(id)
}

func (a *Node) sendSnapshot(now time.Time, id string, p *progress) {
	if now.Sub(p.snapshotSentAt) < snapshotInterval {
		return
	}
	p.snapshotSentAt = now
	p.pending = true
	s := a.snapshot
	a.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &s, Commit: a.commit, Sent: now.UnixNano()})
}

// followLeader records a message from the current leader and resets the election timeout.
func (a *Node) followLeader(now time.Time, m Message) {
	a.leader = m.From
	a.lastLeaderContact = now
	a.role = Follower
	a.preVoting = false
	a.resetElectionDeadline(now)
}

func (a *Node) receiveAppendEntries(now time.Time, m Message) {
	if a.role == Leader {
		panic(&BrokenPromiseError{Invariant: "at most one leader per term"})
	}
	a.followLeader(now, m)
	if t, ok := a.termAt(m.Index); m.Index > a.snapshot.Index && (!ok || t != m.LogTerm) {
		a.send(Message{Kind: AppendEntriesResponse, To: m.From, Index: min(a.lastIndex(), m.Index-1), Sent: m.Sent})
		return
	}
	added := a.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	response := Message{Kind: AppendEntriesResponse, To: m.From, Index: last, Granted: true, Sent: m.Sent}
	a.commit = max(a.commit, min(m.Commit, last))
	if len(added) == 0 && a.durableIndex >= last {
		a.send(response)
		return
	}
	a.persist(Persist{Entries: added, SendAfterSync: []Message{response}})
}

// mergeEntries adds entries to the log, truncating it at a conflict, and returns the new ones.
func (a *Node) mergeEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index <= a.snapshot.Index {
			continue
		}
		if t, ok := a.termAt(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= a.commit {
			panic(&BrokenPromiseError{Invariant: "a committed entry is never replaced"})
		}
		a.entries = append(a.entries[:e.Index-a.snapshot.Index-1], entries[i:]...)
		a.durableIndex = min(a.durableIndex, e.Index-1)
		a.recomputeVoters()
		return slices.Clone(entries[i:])
	}
	return nil
}

func (a *Node) receiveInstallSnapshot(now time.Time, m Message) {
	a.followLeader(now, m)
	s := *m.Snapshot
	response := Message{Kind: AppendEntriesResponse, To: m.From, Index: s.Index, Granted: true, Sent: m.Sent}
	if s.Index <= a.commit {
		a.send(response)
		return
	}
	a.snapshot, a.entries = s, nil
	a.commit, a.applied = s.Index, s.Index
	a.durableIndex = 0
	a.recomputeVoters()
	a.effects = append(a.effects, Effect{Restore: &s})
	a.persistSnapshot(response)
}

func (a *Node) receiveAppendEntriesResponse(now time.Time, m Message) {
	if a.role != Leader {
		return
	}
	p := a.progressOf(m.From)
	p.pending = false
	p.version = m.LogTerm
	if sent := time.Unix(0, m.Sent); sent.After(p.ackedSendTime) {
		p.ackedSendTime = sent
	}
	if !m.Granted {
		p.next = max(min(m.Index+1, p.next-1), 1)
		a.replicate(now, m.From, p)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	a.advanceCommit(now)
	a.replicateCommit(now)
}

// replicateCommit sends missing entries and the new commit index to followers at once.
// If the followers received the commit index only with the next heartbeat, the balancers
// that poll them would receive changes up to a quarter of a second late.
func (a *Node) replicateCommit(now time.Time) {
	for _, v := range a.peers() {
		p := a.progressOf(v.Id)
		if !p.pending && !a.withholdsEntries(v.Id, p) && (p.next <= a.lastIndex() || p.sentCommit < a.commit) {
			a.replicate(now, v.Id, p)
		}
	}
}

// advanceCommit commits the entries that a majority has synced, once the last of them is of
// the leader's own term: an entry of an earlier term may still be replaced (Ongaro, 2014, 3.6.2).
func (a *Node) advanceCommit(now time.Time) {
	index := a.list.quorumIndex(func(id string) uint64 {
		if id == a.settings.Self.Id {
			return a.durableIndex
		}
		return a.progressOf(id).match
	})
	if t, ok := a.termAt(index); !ok || t != a.vote.Term || index <= a.commit {
		return
	}
	a.commit = index
	if !a.canVote() && a.votersAt <= a.commit {
		a.stepDown(now, a.vote.Term)
		return
	}
	a.leaveJoint(now)
}
