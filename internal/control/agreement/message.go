package agreement

// MessageKind is the type of a message between voters.
type MessageKind uint8

// The kinds of messages.
const (
	// JoinRequest is sent by a voter that has no list of voters, or no vote in its list.
	JoinRequest MessageKind = iota
	// Bootstrap carries the initial list of voters.
	Bootstrap
	// PreVote checks whether a vote would be granted, without raising any term.
	PreVote
	PreVoteResponse
	RequestVote
	VoteResponse
	// AppendEntries carries entries and is the leader's heartbeat.
	AppendEntries
	AppendEntriesResponse
	// InstallSnapshot carries a snapshot.
	InstallSnapshot
	// TimeoutNow asks a follower to start an election at once, because the leader is stopping.
	// The follower's RequestVote messages have Granted set.
	TimeoutNow
	// LeaveRequest asks the leader to take the sender out of the list, because it stops as planned.
	LeaveRequest
	// LeaveResponse has Granted set if the receiver has no vote any more.
	LeaveResponse
)

// Message is a message between two voters.
type Message struct {
	_     struct{} `cbor:",toarray"`
	Kind  MessageKind
	From  string
	To    string
	Term  uint64
	Index uint64
	// LogTerm is the term of the entry at Index. In an AppendEntriesResponse, it is the
	// sender's protocolVersion.
	LogTerm uint64
	Commit  uint64
	// Granted is the result in a response. In a JoinRequest, it means that the sender has a
	// list of voters; in a RequestVote, that the leader asked for the election by TimeoutNow.
	Granted  bool
	Entries  []Entry
	Snapshot *Snapshot
	Voter    Voter
	Voters   []Voter
	// Address is the sender's address for responses. A receiver with an empty disk has no
	// list of voters in which to look it up.
	Address string
	// Sent is the leader's send time in nanoseconds, echoed in responses.
	Sent int64
}

// protocolVersion is sent in each AppendEntriesResponse. Builds that send 0 do not know
// JointVoters entries.
const protocolVersion = 1

// Effect is one action that the caller must perform; exactly one field is set.
type Effect struct {
	// Send is sent at once.
	Send *Message
	// Persist is synced to disk, in order, before its SendAfterSync messages are sent.
	Persist *Persist
	// Apply is the next committed entry.
	Apply *Entry
	// Restore replaces the state machine's state by a snapshot.
	Restore *Snapshot
}

// Event is one input of a voter; exactly one field is set.
type Event struct {
	Tick    bool
	Message *Message
	// Persisted is the highest index that was synced to disk.
	Persisted uint64
	// DiskFailed means that the disk failed and that no further Persist will be synced.
	DiskFailed bool
	// Compact holds the state machine's state at the applied index, for a new snapshot.
	Compact []byte
}
