package upstream

import (
	"fmt"
	"net/netip"
)

// State is the state that an upstream announces for itself.
type State uint8

// The states that an upstream announces.
const (
	// Ready means that the upstream accepts new flows.
	Ready State = iota
	// Draining means that the upstream only serves its open flows.
	Draining
	// Withdrawn means that the upstream is about to end; until then, it serves its open flows.
	Withdrawn
)

var stateNames = [...]string{"Ready", "Draining", "Withdrawn"}

// String returns the name of the state as used in JSON and logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Identity identifies an instance of an upstream, that is, one run of its process.
//
// The address alone is not sufficient: if an address is reassigned to another
// service, packets of flows of the first service would reach the second one.
type Identity struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
}

// Upstream is an announcement of an upstream, ordered by incarnation, start time and sequence.
type Upstream struct {
	_ struct{} `cbor:",toarray"`
	Identity
	Zone string
	// Door is the address of the upstream's HTTP server; empty if requests are not proxied.
	Door string
	// Slots is the number of requests that the upstream can process at the same time.
	Slots uint16
	// Sequence increases with each announcement of an instance.
	Sequence uint64
	State    State
	// Born is the start time of the upstream's process in milliseconds since 1970 by the
	// upstream's clock, 0 if unknown. An upstream may restart with the same incarnation:
	// it keeps no state, and its sequence numbers start over.
	Born uint64 `json:",omitzero"`
}

// WithState returns the upstream with another state and the next sequence number.
func (u Upstream) WithState(s State) Upstream {
	u.State = s
	u.Sequence++
	return u
}

// Newer reports whether u was announced after o, for the same address.
func (u Upstream) Newer(o Upstream) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation > o.Incarnation
	}
	return u.Later(o)
}

// Later reports whether u was announced after o; both have the same incarnation. The state
// breaks ties between equal sequences, so that the result does not depend on arrival order.
func (u Upstream) Later(o Upstream) bool {
	if u.Born != o.Born {
		return u.Born > o.Born
	}
	if u.Sequence != o.Sequence {
		return u.Sequence > o.Sequence
	}
	return u.State > o.State
}
