package effect

import "net/netip"

// Kind identifies the type of an effect.
type Kind string

// The effects of a balancer's reducer.
const (
	// ToUpstream sends a GUE datagram to an upstream's tunnel.
	ToUpstream Kind = "ToUpstream"
	// ToPeer sends a datagram to another balancer's peer port.
	ToPeer Kind = "ToPeer"
	// Fetch requests a newer configuration from another balancer.
	Fetch Kind = "Fetch"
	// Drained reports that every flow of this balancer is replicated elsewhere.
	Drained Kind = "Drained"
	// Alarm reports a problem to the operators.
	Alarm Kind = "Alarm"
)

// Effect is one output that the I/O layer must perform.
type Effect struct {
	Kind Kind
	To   netip.AddrPort `json:",omitzero"`
	Data []byte         `json:",omitempty"`
	Text string         `json:",omitempty"`
}

// List collects the effects of one event. Its memory is reused for the next event, so
// that packets of known flows cause no allocations.
//
// The effects must be performed before the next event is reduced, which overwrites
// their data.
type List struct {
	Effects []Effect
	arena   []byte
}

// Reset empties the list and keeps its capacity.
func (l *List) Reset() {
	l.Effects = l.Effects[:0]
	l.arena = l.arena[:0]
}

// Add appends an effect without copying its data.
func (l *List) Add(e Effect) { l.Effects = append(l.Effects, e) }

// AddCopy appends an effect whose data is a copy of head followed by body.
func (l *List) AddCopy(kind Kind, to netip.AddrPort, head, body []byte) {
	start := len(l.arena)
	l.arena = append(l.arena, head...)
	l.arena = append(l.arena, body...)
	l.Add(Effect{Kind: kind, To: to, Data: l.arena[start:len(l.arena):len(l.arena)]})
}
