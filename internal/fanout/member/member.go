package member

// Member is a balancer that others may follow.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Address takes calls of other processes of the system.
	Address string
	// Announcements takes the announcements of upstreams.
	Announcements string
}
