package evidence

import "time"

// Subject identifies what may be unresponsive: one instance of an upstream, or a whole
// availability zone. For a zone only Zone is set, otherwise only Incarnation and Born.
type Subject struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation, Born uint64
	Zone              string
}

// Event is an observation of an upstream by a balancer or voter: a packet that had to be
// retransmitted without any response since it was first sent, or a response or announcement
// of a suspected upstream.
type Event struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation, Born uint64
	// Zone is the upstream's availability zone.
	Zone string
	// Age is the time since the packet was first sent or the response was received. It is
	// relative, since the clocks of VMs differ but do not drift within some hundred milliseconds.
	Age time.Duration
	// Weight is the negative logarithm of the probability of the event while the upstream is
	// alive, and 0 for a response.
	Weight float64
	// Answered reports whether the event is a response.
	Answered bool
}

// Report holds events that a balancer observed or forwards.
type Report struct {
	// From identifies the balancer.
	From   string
	Events []Event
}

// Suspicion is a voter's report to balancers that a subject has left packets of some of them
// unanswered.
type Suspicion struct {
	_ struct{} `cbor:",toarray"`
	Subject
	// Age is the time since the earliest of these packets was sent.
	Age time.Duration
	// Unresponsive reports whether the evidence suffices and, in what voters send to balancers,
	// whether probes confirm it. Until then, responses of the subject are requested from balancers.
	Unresponsive bool
}
