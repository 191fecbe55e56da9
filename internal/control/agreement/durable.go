package agreement

import "fmt"

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of entries.
const (
	// Command is a change to the replicated state machine.
	Command EntryKind = iota
	// Voters is a membership change: it holds the new list of voters.
	Voters
	// NoOp is written by a new leader to commit the entries of earlier terms.
	NoOp
	// JointVoters is a membership change of more than one voter: it holds the new list of
	// voters and the one that it replaces. Builds that do not know it keep the list before it.
	JointVoters
)

// Entry is one entry of the replicated log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Vote is a voter's current term and the candidate it voted for in that term.
type Vote struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	For  string
}

// Snapshot replaces all entries up to and including its index.
type Snapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Voters []Voter
	Data   []byte
}

// Voter is a control process as a member of the cluster; Id changes when its disk is
// replaced.
type Voter struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Id      string
	Address string
	// Learner is set while the process only receives the log and does not vote.
	Learner bool
}

// PersistentState is the state that a voter reads from its disk at start.
type PersistentState struct {
	Vote     Vote
	Snapshot Snapshot
	Entries  []Entry
	// Commit is the highest index known to be committed.
	Commit uint64
}

// OrderError reports an entry that would leave a gap in the log.
type OrderError struct{ Index, Expected uint64 }

func (e *OrderError) Error() string {
	return fmt.Sprintf("log entry %d leaves a gap: expected index %d or lower", e.Index, e.Expected)
}

// Put removes the entries from e.Index on and appends e.
func (p *PersistentState) Put(e Entry) error {
	next := p.Snapshot.Index + uint64(len(p.Entries)) + 1
	if e.Index > next {
		return &OrderError{Index: e.Index, Expected: next}
	}
	p.Entries = append(p.Entries[:e.Index-p.Snapshot.Index-1], e)
	return nil
}

// Persist is data that must be synced to disk before SendAfterSync is sent.
type Persist struct {
	Vote    *Vote
	Entries []Entry
	// Snapshot, if set, replaces the stored log: Entries then holds all entries after it.
	Snapshot *Snapshot
	// Commit is stored so that a voter that restarts in a partition can determine which
	// configuration was in force.
	Commit        uint64
	SendAfterSync []Message
}
