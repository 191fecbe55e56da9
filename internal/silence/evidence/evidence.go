package evidence

import "time"

// Subject identifies what may be unresponsive: one run of an upstream, or a whole availability
// zone. For a zone only Zone is set.
type Subject struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation, Born uint64
	Zone              string
}

// Event is an observation of an upstream by one balancer: a packet that had to be
// retransmitted without any response since it was first sent, or a response of a suspected
// upstream.
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

// Report holds the events of one balancer.
type Report struct {
	// From identifies the balancer.
	From   string
	Events []Event
}

// Suspicion is the suspicion that a voter reports to balancers: a subject leaves packets unanswered.
type Suspicion struct {
	_ struct{} `cbor:",toarray"`
	Subject
	// Age is the time since the earliest of those packets was sent.
	Age time.Duration
	// Unresponsive reports whether the evidence suffices. Until then, balancers are asked to
	// report responses of the subject.
	Unresponsive bool
}
