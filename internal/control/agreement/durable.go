package agreement

import "fmt"

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// Command is a change for the state that the log drives.
	Command EntryKind = iota
	// Voters is a new list of voters.
	Voters
	// Empty is what a new leader writes to learn what is accepted.
	Empty
)

// Entry is one record of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Vote is a voter's term and whom it voted for in it.
type Vote struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	For  string
}

// Snapshot stands for all entries up to its index.
type Snapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Voters []Voter
	Data   []byte
}

// Voter is one control process; Id changes when its disk is replaced.
type Voter struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Id      string
	Address string
	// Learner voters get the log and have no vote.
	Learner bool
}

// Durable is what a voter finds on its disk.
type Durable struct {
	Vote     Vote
	Snapshot Snapshot
	Entries  []Entry
	// Commit is the index up to which entries are known to be accepted.
	Commit uint64
}

// OrderError says that an entry does not follow the one before it.
type OrderError struct{ Index, Expected uint64 }

func (e *OrderError) Error() string {
	return fmt.Sprintf("entry %d where %d or less was expected", e.Index, e.Expected)
}

// Put adds an entry, in place of those from its index on.
func (d *Durable) Put(e Entry) error {
	next := d.Snapshot.Index + uint64(len(d.Entries)) + 1
	if e.Index > next {
		return &OrderError{Index: e.Index, Expected: next}
	}
	d.Entries = append(d.Entries[:e.Index-d.Snapshot.Index-1], e)
	return nil
}

// Persist is what must be synced before Then is sent.
type Persist struct {
	Vote    *Vote
	Entries []Entry
	// Snapshot replaces the log's beginning; Entries are then the whole rest.
	Snapshot *Snapshot
	// Commit is kept so that a voter that restarts cut off from the others
	// still knows which configuration was in force.
	Commit uint64
	Then   []Message
}
