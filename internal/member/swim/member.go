package swim

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/flow/key"
)

// State is the state of a member.
type State uint8

// The states; a higher one overrides a lower one of the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"Alive", "Suspect", "Dead", "Left"}

// String returns the name of the state, as used in JSON and logs.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Member is the state of one balancer as it is gossiped.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Zone    string
	Address netip.AddrPort
	// Start is the start time of the process in nanoseconds; it identifies the process.
	Start uint64
	// Incarnation is incremented by the member itself to refute a suspicion or to change
	// Passive.
	Incarnation uint64
	State       State
	// Passive members own no flows: they are joining or leaving.
	Passive bool
}

// WithState returns the member with another state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

func (m Member) supersedes(o Member) bool {
	if m.Start != o.Start {
		return m.Start > o.Start
	}
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.State > o.State
}

// digest returns a hash of the member. The sum of the digests of a list does not depend
// on its order.
func (m Member) digest() uint64 {
	flags := uint64(m.State) << 1
	if m.Passive {
		flags |= 1
	}
	return key.Mix(xxhash.Sum64String(m.Name) ^ key.Mix(m.Start^key.Mix(m.Incarnation<<8|flags)))
}
