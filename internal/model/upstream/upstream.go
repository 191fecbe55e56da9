package upstream

import (
	"fmt"
	"net/netip"
)

// State says whether an upstream takes new work.
type State uint8

// The states an upstream announces, or that its lease running out gives it.
const (
	Ready State = iota
	Draining
	Withdrawn
)

var stateNames = [...]string{"Ready", "Draining", "Withdrawn"}

// String gives the state's name as it stands in JSON and logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Identity names one life of one upstream in one service.
//
// An address alone is not enough: an address handed to another service would
// inherit the flows of the first, and their packets would reach that service.
type Identity struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
}

// Upstream is one announcement of a back end, ordered by incarnation, start and sequence.
type Upstream struct {
	_ struct{} `cbor:",toarray"`
	Identity
	Zone     string
	Door     string
	Slots    uint16
	Sequence uint64
	State    State
	// Born is when this life began, in milliseconds since 1970 by the upstream's own
	// clock; 0 where it does not say. An upstream may start again as the incarnation
	// that it was: it knows nothing of before then, and its sequence starts anew.
	Born uint64 `json:",omitzero"`
}

// WithState returns the upstream in another state, one sequence later.
func (u Upstream) WithState(s State) Upstream {
	u.State = s
	u.Sequence++
	return u
}

// Newer says whether u was announced after o, for the same address.
func (u Upstream) Newer(o Upstream) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation > o.Incarnation
	}
	return u.Later(o)
}

// Later says whether u was announced after o, both of one incarnation. The state decides
// between equal sequences, so that the order in which the words arrive does not.
func (u Upstream) Later(o Upstream) bool {
	if u.Born != o.Born {
		return u.Born > o.Born
	}
	if u.Sequence != o.Sequence {
		return u.Sequence > o.Sequence
	}
	return u.State > o.State
}
