package agreement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Settings configures one voter.
type Settings struct {
	Self Voter
	// Founders are the names and addresses of the initial list of voters.
	Founders []Voter
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// Election is the minimum election timeout; the maximum is twice that.
	Election time.Duration
	Seed     uint64
	// EntriesPerMessage limits the entries of one AppendEntries message.
	EntriesPerMessage int
	// Tolerate is the number of simultaneous disk losses to survive.
	Tolerate int
	// JoinTargets are further voters that receive join requests.
	JoinTargets []Voter
	// JoinOnly prevents bootstrapping a new cluster. It is set once the cluster exists:
	// from then on, an empty disk means a replaced or additional voter.
	JoinOnly bool
	// InitialElectionTimeout is the maximum election timeout after a start; 0 means that
	// Election applies from the start. After a power loss of all voters there is no leader,
	// and a longer timeout prolongs the outage. If there is a leader, the other voters
	// reject the early pre-vote, so that a short timeout does no harm.
	InitialElectionTimeout time.Duration
}

// Role is the current role of a voter.
type Role string

// The roles of a voter.
const (
	// Unfounded voters have no list of voters yet.
	Unfounded Role = "Unfounded"
	Follower  Role = "Follower"
	Candidate Role = "Candidate"
	Leader    Role = "Leader"
	// ReadOnly voters have a failed disk: they neither vote nor store entries.
	ReadOnly Role = "ReadOnly"
)

// NotLeaderError rejects a call that only the leader can serve; Leader is empty if no
// leader is known.
type NotLeaderError struct{ Leader Voter }

func (e *NotLeaderError) Error() string {
	if e.Leader.Id == "" {
		return "this voter is not the leader and knows of none; it may be cut off, try another"
	}
	return fmt.Sprintf("the leader is %s at %s; ask there", e.Leader.Name, e.Leader.Address)
}

// BrokenPromiseError reports a violated invariant; the voter must stop.
type BrokenPromiseError struct{ Invariant string }

func (e *BrokenPromiseError) Error() string { return "invariant violated: " + e.Invariant }

// progress is the leader's view of one follower's log.
type progress struct {
	match, next uint64
	// ackedSendTime is the send time of the last acknowledged message.
	ackedSendTime time.Time
	// pending is set while a message is in flight.
	pending bool
	// sentCommit is the last commit index sent to the follower.
	sentCommit     uint64
	snapshotSentAt time.Time
	// version is the protocolVersion of the follower's last response.
	version uint64
}

// joinRequest is the last join request of one voter.
type joinRequest struct {
	voter Voter
	// bootstrapped is set if the voter has a list of voters.
	bootstrapped bool
	receivedAt   time.Time
}

// Node is the Raft state of one voter; it is not safe for concurrent use.
type Node struct {
	settings Settings
	role     Role
	vote     Vote
	snapshot Snapshot
	entries  []Entry
	list     voterList
	// voters has the entries of all lists in force.
	voters       []Voter
	votersAt     uint64
	leader       string
	commit       uint64
	applied      uint64
	durableIndex uint64
	votes        map[string]bool
	preVoting    bool
	progress     map[string]*progress
	joinRequests map[string]joinRequest
	// leaveRequests holds the time of the last LeaveRequest of each voter, by id.
	leaveRequests map[string]time.Time
	// leave is the state of this voter's own departure from the list.
	leave            Leave
	electionDeadline time.Time
	// lastLeaderContact is the time of the last message from a leader, initially the start time.
	lastLeaderContact time.Time
	// lastSent is when this voter last sent join requests or, as the leader, heartbeats.
	lastSent time.Time
	rng      *rand.Rand
	// termStartIndex is the index of the first entry that this leader wrote in its term.
	termStartIndex uint64
	// leaderSince is when this leader was elected.
	leaderSince time.Time
	effects     []Effect
}

// New returns a voter with the state read from its disk.
func New(s Settings, d PersistentState, now time.Time) *Node {
	s.Tolerate = max(s.Tolerate, 1)
	a := &Node{
		settings: s, role: Follower, vote: d.Vote, snapshot: d.Snapshot, entries: d.Entries,
		commit: d.Snapshot.Index, applied: d.Snapshot.Index, lastLeaderContact: now,
		progress: map[string]*progress{}, joinRequests: map[string]joinRequest{},
		leaveRequests: map[string]time.Time{},
		rng:           rand.New(rand.NewPCG(s.Seed, uint64(len(s.Self.Id)))),
	}
	a.durableIndex = a.lastIndex()
	a.commit = min(max(a.commit, d.Commit), a.durableIndex)
	a.recomputeVoters()
	if len(a.voters) == 0 {
		a.role = Unfounded
	}
	a.resetElectionDeadline(now)
	if s.InitialElectionTimeout > 0 {
		a.electionDeadline = now.Add(time.Duration(a.rng.Int64N(int64(s.InitialElectionTimeout))))
	}
	return a
}

// Status is the state of a voter as shown to operators.
type Status struct {
	Role    Role
	Name    string
	Leader  Voter
	Term    uint64
	Commit  uint64
	Last    uint64
	Applied uint64
	Voters  []Voter
	// Joint reports whether two lists of voters are in force; Voters then has the voters of both.
	Joint bool
	// VotersAt is the index of the entry that holds the list of voters.
	VotersAt uint64
	// Current reports whether this voter holds the leader's lease, and so has every
	// committed entry.
	Current bool
	// Silence is the time since the last message from a leader, 0 on the leader itself.
	Silence time.Duration
	// Kept is the number of entries since the snapshot.
	Kept int
}

// Status returns the state shown to operators.
func (a *Node) Status(now time.Time) Status {
	s := Status{
		Role: a.role, Name: a.settings.Self.Name, Leader: a.voter(a.leader), Term: a.vote.Term, Commit: a.commit,
		Last: a.lastIndex(), Applied: a.applied, Voters: a.voters, Joint: a.list.joint(), VotersAt: a.votersAt, Current: a.HoldsLease(now), Kept: len(a.entries),
	}
	if a.role != Leader {
		s.Silence = now.Sub(a.lastLeaderContact)
	}
	return s
}

func (a *Node) voter(id string) Voter {
	v, _ := lo.Find(a.voters, func(v Voter) bool { return v.Id == id })
	return v
}

// Reduce applies one event and returns the effects to execute, in order.
func (a *Node) Reduce(now time.Time, e Event) []Effect {
	a.effects = nil
	switch {
	case e.DiskFailed:
		a.role, a.leader = ReadOnly, ""
	case a.role == ReadOnly:
	case e.Tick:
		a.tick(now)
	case e.Message != nil:
		a.receive(now, *e.Message)
	case e.Persisted > 0:
		a.persisted(now, e.Persisted)
	case e.Compact != nil:
		a.compact(e.Compact)
	}
	a.apply()
	return a.effects
}

// Replay returns effects that apply the entries known to be committed at start.
func (a *Node) Replay() []Effect {
	a.effects = nil
	a.apply()
	return a.effects
}

// Propose appends a command to the log and returns its entry. The command is committed
// once an entry with the same index and term is applied.
func (a *Node) Propose(now time.Time, data []byte) (Entry, []Effect, error) {
	if a.role != Leader {
		return Entry{}, nil, &NotLeaderError{Leader: a.voter(a.leader)}
	}
	a.effects = nil
	e := a.append(now, Command, data)
	a.apply()
	return e, a.effects, nil
}

func (a *Node) lastIndex() uint64 { return a.snapshot.Index + uint64(len(a.entries)) }

// termAt returns the term of the entry at an index, and false if the log does
// not hold that entry.
func (a *Node) termAt(i uint64) (uint64, bool) {
	switch {
	case i == a.snapshot.Index:
		return a.snapshot.Term, true
	case i < a.snapshot.Index || i > a.lastIndex():
		return 0, false
	default:
		return a.entries[i-a.snapshot.Index-1].Term, true
	}
}

func (a *Node) lastTerm() uint64 {
	t, _ := a.termAt(a.lastIndex())
	return t
}

// bytesPerMessage limits the size of an AppendEntries message. Without it, a message with
// many large configurations exceeds the call timeout on a slow link, and so does each retry.
const bytesPerMessage = 1 << 20

// entriesFrom returns the entries from an index on: at most limit entries and, unless the
// first entry alone is larger, at most bytesPerMessage bytes.
func (a *Node) entriesFrom(i uint64, limit int) []Entry {
	es := a.entries[i-a.snapshot.Index-1:]
	n, size := 0, 0
	for n < min(len(es), limit) && (n == 0 || size+len(es[n].Data) <= bytesPerMessage) {
		size += len(es[n].Data)
		n++
	}
	return slices.Clone(es[:n])
}

func (a *Node) resetElectionDeadline(now time.Time) {
	spread := time.Duration(a.rng.Int64N(int64(a.settings.Election)))
	a.electionDeadline = now.Add(a.settings.Election + spread)
}

func (a *Node) send(m Message) {
	a.stamp(&m)
	if m.Term == 0 {
		m.Term = a.vote.Term
	}
	a.effects = append(a.effects, Effect{Send: &m})
}

// stamp sets the sender of a message, and its protocol version in a response.
func (a *Node) stamp(m *Message) {
	m.From, m.Address = a.settings.Self.Id, a.settings.Self.Address
	if m.Kind == AppendEntriesResponse {
		m.LogTerm = protocolVersion
	}
}

// persist emits an effect that syncs p to disk and then sends p.SendAfterSync.
func (a *Node) persist(p Persist) {
	for i := range p.SendAfterSync {
		a.stamp(&p.SendAfterSync[i])
		p.SendAfterSync[i].Term = a.vote.Term
	}
	a.effects = append(a.effects, Effect{Persist: &p})
}

func (a *Node) setVote(term uint64, candidate string, sendAfterSync ...Message) {
	a.vote = Vote{Term: term, For: candidate}
	v := a.vote
	a.persist(Persist{Vote: &v, SendAfterSync: sendAfterSync})
}

func (a *Node) tick(now time.Time) {
	switch {
	case a.leave == Left:
	case a.role == Unfounded || !a.canVote():
		a.tickWithoutVote(now)
	case a.role == Leader:
		a.tickLeader(now)
	case now.After(a.electionDeadline):
		a.startPreVote(now)
	}
}

// apply emits an Apply effect for each newly committed entry.
func (a *Node) apply() {
	for a.applied < a.commit {
		a.applied++
		e := a.entries[a.applied-a.snapshot.Index-1]
		a.effects = append(a.effects, Effect{Apply: &e})
	}
}

// compact replaces the applied entries by a snapshot. A snapshot holds one list of voters, so
// the applied entries are kept while two are in force.
func (a *Node) compact(data []byte) {
	list := a.votersAtIndex(a.applied)
	if a.applied <= a.snapshot.Index || list.joint() {
		return
	}
	term, _ := a.termAt(a.applied)
	rest := slices.Clone(a.entries[a.applied-a.snapshot.Index:])
	a.snapshot = Snapshot{Index: a.applied, Term: term, Voters: list.Next, Data: data}
	a.entries = rest
	a.persistSnapshot()
}

func (a *Node) persistSnapshot(sendAfterSync ...Message) {
	s, v := a.snapshot, a.vote
	a.persist(Persist{Vote: &v, Snapshot: &s, Entries: a.entries, SendAfterSync: sendAfterSync})
}

// persisted records that the log is synced up to an index. On the leader, this may
// advance the commit index.
func (a *Node) persisted(now time.Time, index uint64) {
	a.durableIndex = max(a.durableIndex, min(index, a.lastIndex()))
	if a.role == Leader {
		a.advanceCommit(now)
	}
}
