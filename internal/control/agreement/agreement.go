package agreement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Settings of one voter.
type Settings struct {
	Self Voter
	// Founders are the names and addresses that form the first list of voters.
	Founders []Voter
	// Heartbeat is the time between a leader's messages.
	Heartbeat time.Duration
	// Election is the least silence of a leader before a vote; the most is twice that.
	Election time.Duration
	Seed     uint64
	// EntriesPerMessage bounds an Append.
	EntriesPerMessage int
	// Tolerate is the number of disks that may be lost at once.
	Tolerate int
	// Meet are further voters to ask for admission.
	Meet []Voter
	// Joins forbids founding: the system is known to run already, and an empty
	// disk here is a lost or a new one.
	Joins bool
	// FirstElection is the most silence of a leader after a start before the
	// first vote; Election is used where it is 0. After a loss of power
	// everywhere nobody leads, and waiting a whole Election would only add to
	// the outage; a voter that does hear a leader is denied by the others.
	FirstElection time.Duration
}

// Role is what a voter is at the moment.
type Role string

// The roles of a voter.
const (
	Unfounded Role = "Unfounded"
	Follower  Role = "Follower"
	Candidate Role = "Candidate"
	Leader    Role = "Leader"
	// ReadOnly voters have a disk that failed: they neither vote nor accept.
	ReadOnly Role = "ReadOnly"
)

// NotLeaderError tells who can accept a change, as far as is known.
type NotLeaderError struct{ Leader Voter }

func (e *NotLeaderError) Error() string {
	if e.Leader.Id == "" {
		return "this voter is not the leader and knows of none; it may be cut off, try another"
	}
	return fmt.Sprintf("the leader is %s at %s; ask there", e.Leader.Name, e.Leader.Address)
}

// BrokenPromiseError is an invariant that did not hold; the voter must stop.
type BrokenPromiseError struct{ Promise string }

func (e *BrokenPromiseError) Error() string { return "broken promise: " + e.Promise }

type progress struct {
	match, next uint64
	// answered is the sending time of the last message that was answered.
	answered time.Time
	pending  bool
	// commit is what the follower was last told is accepted.
	commit    uint64
	installed time.Time
}

type hello struct {
	voter   Voter
	founded bool
	heard   time.Time
}

// Agreement is the state of one voter; one goroutine owns it.
type Agreement struct {
	settings  Settings
	role      Role
	vote      Vote
	snapshot  Snapshot
	entries   []Entry
	voters    []Voter
	votersAt  uint64
	leader    string
	commit    uint64
	applied   uint64
	durable   uint64
	votes     map[string]bool
	preVoting bool
	progress  map[string]*progress
	hellos    map[string]hello
	deadline  time.Time
	// heardFrom is when a leader was heard last, or the start.
	heardFrom time.Time
	lastBeat  time.Time
	random    *rand.Rand
	// leaderFrom is the first entry of the own term, leaderSince its time.
	leaderFrom  uint64
	leaderSince time.Time
	effects     []Effect
}

// New returns a voter with what its disk held.
func New(s Settings, d Durable, now time.Time) *Agreement {
	s.Tolerate = max(s.Tolerate, 1)
	a := &Agreement{
		settings: s, role: Follower, vote: d.Vote, snapshot: d.Snapshot, entries: d.Entries,
		voters: d.Snapshot.Voters, votersAt: d.Snapshot.Index,
		commit: d.Snapshot.Index, applied: d.Snapshot.Index, heardFrom: now,
		progress: map[string]*progress{}, hellos: map[string]hello{},
		random: rand.New(rand.NewPCG(s.Seed, uint64(len(s.Self.Id)))),
	}
	a.durable = a.lastIndex()
	a.commit = min(max(a.commit, d.Commit), a.durable)
	for _, e := range a.entries {
		a.noteVoters(e)
	}
	if len(a.voters) == 0 {
		a.role = Unfounded
	}
	a.resetDeadline(now)
	if s.FirstElection > 0 {
		a.deadline = now.Add(time.Duration(a.random.Int64N(int64(s.FirstElection))))
	}
	return a
}

// Status is what a voter says of itself.
type Status struct {
	Role    Role
	Name    string
	Leader  Voter
	Term    uint64
	Commit  uint64
	Last    uint64
	Applied uint64
	Voters  []Voter
	// VotersAt is the index of the entry that holds the list of voters.
	VotersAt uint64
	// Current says that nothing accepted can be missing here.
	Current bool
	// Silence is the time since a leader was heard, 0 for the leader itself.
	Silence time.Duration
	// Kept is the number of entries since the snapshot.
	Kept int
}

// Status returns the state that operators see.
func (a *Agreement) Status(now time.Time) Status {
	s := Status{
		Role: a.role, Name: a.settings.Self.Name, Leader: a.voter(a.leader), Term: a.vote.Term, Commit: a.commit,
		Last: a.lastIndex(), Applied: a.applied, Voters: a.voters, VotersAt: a.votersAt, Current: a.Current(now), Kept: len(a.entries),
	}
	if a.role != Leader {
		s.Silence = now.Sub(a.heardFrom)
	}
	return s
}

func (a *Agreement) voter(id string) Voter {
	v, _ := lo.Find(a.voters, func(v Voter) bool { return v.Id == id })
	return v
}

// Reduce applies one event and returns what must be done, in order.
func (a *Agreement) Reduce(now time.Time, e Event) []Effect {
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

// Replay returns the entries that the disk knew to be accepted at the start.
func (a *Agreement) Replay() []Effect {
	a.effects = nil
	a.apply()
	return a.effects
}

// Propose adds a command to the log and returns its place; the change is
// accepted when that place is applied with the same term.
func (a *Agreement) Propose(now time.Time, data []byte) (Entry, []Effect, error) {
	if a.role != Leader {
		return Entry{}, nil, &NotLeaderError{Leader: a.voter(a.leader)}
	}
	a.effects = nil
	e := a.append(now, Command, data)
	a.apply()
	return e, a.effects, nil
}

func (a *Agreement) lastIndex() uint64 { return a.snapshot.Index + uint64(len(a.entries)) }

// termAt returns the term of an index, and false when it is not kept.
func (a *Agreement) termAt(i uint64) (uint64, bool) {
	switch {
	case i == a.snapshot.Index:
		return a.snapshot.Term, true
	case i < a.snapshot.Index || i > a.lastIndex():
		return 0, false
	default:
		return a.entries[i-a.snapshot.Index-1].Term, true
	}
}

func (a *Agreement) lastTerm() uint64 {
	t, _ := a.termAt(a.lastIndex())
	return t
}

// bytesPerMessage bounds an Append beside the number of its entries: a message
// must get through a slow link within the time a call may take, and one of many
// large configurations would not, again and again.
const bytesPerMessage = 1 << 20

func (a *Agreement) entriesFrom(i uint64, limit int) []Entry {
	es := a.entries[i-a.snapshot.Index-1:]
	n, size := 0, 0
	for n < min(len(es), limit) && (n == 0 || size+len(es[n].Data) <= bytesPerMessage) {
		size += len(es[n].Data)
		n++
	}
	return slices.Clone(es[:n])
}

func (a *Agreement) resetDeadline(now time.Time) {
	spread := time.Duration(a.random.Int64N(int64(a.settings.Election)))
	a.deadline = now.Add(a.settings.Election + spread)
}

func (a *Agreement) send(m Message) {
	m.From, m.Address = a.settings.Self.Id, a.settings.Self.Address
	if m.Term == 0 {
		m.Term = a.vote.Term
	}
	a.effects = append(a.effects, Effect{Send: &m})
}

// persist makes a vote or entries durable, and sends messages only after that.
func (a *Agreement) persist(p Persist) {
	for i := range p.Then {
		p.Then[i].From, p.Then[i].Address = a.settings.Self.Id, a.settings.Self.Address
		p.Then[i].Term = a.vote.Term
	}
	a.effects = append(a.effects, Effect{Persist: &p})
}

func (a *Agreement) setVote(term uint64, candidate string, then ...Message) {
	a.vote = Vote{Term: term, For: candidate}
	v := a.vote
	a.persist(Persist{Vote: &v, Then: then})
}

func (a *Agreement) tick(now time.Time) {
	switch {
	case a.role == Unfounded || !a.mayVote():
		a.sayHello(now)
	case a.role == Leader:
		a.lead(now)
	case now.After(a.deadline):
		a.startPreVote(now)
	}
}

func (a *Agreement) apply() {
	for a.applied < a.commit {
		a.applied++
		e := a.entries[a.applied-a.snapshot.Index-1]
		a.effects = append(a.effects, Effect{Apply: &e})
	}
}

// compact drops the applied entries in favour of a snapshot.
func (a *Agreement) compact(data []byte) {
	if a.applied <= a.snapshot.Index {
		return
	}
	term, _ := a.termAt(a.applied)
	voters := a.votersUpTo(a.applied)
	rest := slices.Clone(a.entries[a.applied-a.snapshot.Index:])
	a.snapshot = Snapshot{Index: a.applied, Term: term, Voters: voters, Data: data}
	a.entries = rest
	a.persistSnapshot()
}

func (a *Agreement) persistSnapshot(then ...Message) {
	s, v := a.snapshot, a.vote
	a.persist(Persist{Vote: &v, Snapshot: &s, Entries: a.entries, Then: then})
}

// persisted counts this voter's own disk towards the majority.
func (a *Agreement) persisted(now time.Time, index uint64) {
	a.durable = max(a.durable, min(index, a.lastIndex()))
	if a.role == Leader {
		a.advance(now)
	}
}
