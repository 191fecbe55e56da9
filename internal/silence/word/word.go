package word

import "time"

// Subject is what may be silent: one life of an upstream, or all upstreams of an
// availability zone, whose name stands alone then.
type Subject struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation, Born uint64
	Zone              string
}

// Event is what one balancer saw of an upstream: a packet that had to be repeated, with
// no sign of life since it was first sent, or a sign of life while it was in doubt.
type Event struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation, Born uint64
	// Zone is the upstream's availability zone.
	Zone string
	// Age is the time since the packet was first sent, or since the sign of life.
	// Clocks of VMs differ, spans of some hundred milliseconds do not.
	Age time.Duration
	// Weight says how unlikely the event is where the upstream lives, as the negative
	// logarithm of the chance; 0 for a sign of life.
	Weight float64
	// Answered marks a sign of life.
	Answered bool
}

// Report is the events of one balancer.
type Report struct {
	// From names the balancer.
	From   string
	Events []Event
}

// Doubt is what a voter tells balancers of a subject that leaves packets unanswered.
type Doubt struct {
	_ struct{} `cbor:",toarray"`
	Subject
	// Age is the time since the first of those packets was sent.
	Age time.Duration
	// Unresponsive says that the evidence suffices; before that, balancers are asked
	// for signs of life.
	Unresponsive bool
}
