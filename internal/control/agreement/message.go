package agreement

// MessageKind says what a message between voters is.
type MessageKind uint8

// The messages between voters.
const (
	// Hello tells of a voter that is not founded or not in the list.
	Hello MessageKind = iota
	// Found gives the first list of voters.
	Found
	// PreVote asks whether a vote would be given, and disturbs nobody.
	PreVote
	PreVoteAnswer
	RequestVote
	VoteAnswer
	// Append carries entries and is the leader's heartbeat.
	Append
	AppendAnswer
	// Install carries a snapshot.
	Install
	// Elect asks a follower to take over from a leader that stops; votes that
	// are requested for it are marked as Granted.
	Elect
)

// Message is what voters send each other.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Kind     MessageKind
	From     string
	To       string
	Term     uint64
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	Granted  bool
	Entries  []Entry
	Snapshot *Snapshot
	Voter    Voter
	Voters   []Voter
	// Address is where the sender takes answers: a voter with an empty disk
	// knows no list of voters in which to look it up.
	Address string
	// Sent is the leader's time of sending in nanoseconds, echoed by answers.
	Sent int64
}

// Effect is one thing for a voter's edge to do; exactly one field is set.
type Effect struct {
	// Send goes out at once.
	Send *Message
	// Persist must be synced, in order, before its Then is sent.
	Persist *Persist
	// Apply is an accepted entry, in order.
	Apply *Entry
	// Restore replaces the state that the log drives.
	Restore *Snapshot
}

// Event is one thing that happened to a voter; exactly one field is set.
type Event struct {
	Tick    bool
	Message *Message
	// Persisted is the highest index whose Persist was synced.
	Persisted uint64
	// DiskFailed means that no Persist will be synced any more.
	DiskFailed bool
	// Compact is the driven state at the applied index.
	Compact []byte
}
