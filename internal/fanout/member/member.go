package member

// Member is a balancer that others may follow.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Address is the RPC address for other processes of the system.
	Address string
	// Announcements is the address for announcements of upstreams.
	Announcements string
}
