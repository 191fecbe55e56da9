package evidence

import "time"

// Subject identifies what may be unresponsive: one instance of an upstream, or a whole
// availability zone. For a zone only Zone is set, otherwise only Incarnation and Born.
type Subject struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation, Born uint64
	Zone              string
}

// Event is an observation of an upstream by a balancer or voter. It is either a packet that was
// retransmitted because no response had arrived since it was first sent, or a response or
// announcement of a suspected upstream.
type Event struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation, Born uint64
	// Zone is the upstream's availability zone.
	Zone string
	// Age is the time since the packet was first sent or the response was received. It is not an
	// absolute time, since the clocks of VMs differ. The drift of the clocks during the few hundred
	// milliseconds of an Age is negligible.
	Age time.Duration
	// Weight is 0 for a response. For an unanswered packet it is the negative logarithm of the
	// probability that a live upstream leaves the packet unanswered.
	Weight float64
	// Answered reports whether the event is a response or an announcement.
	Answered bool
}

// Report holds events that a balancer observed or forwards.
type Report struct {
	// From identifies the balancer.
	From   string
	Events []Event
}

// Suspicion is a voter's evaluation of one subject. Voters send it to balancers.
type Suspicion struct {
	_ struct{} `cbor:",toarray"`
	Subject
	// Age is the time since the earliest unanswered packet was sent.
	Age time.Duration
	// Unresponsive has two meanings. In the result of accrual.Detector.Suspicions it reports
	// whether the evidence suffices. In the result of confirmation.Confirmer.Confirm, which
	// voters send to balancers, it also requires that probes confirm the evidence. Whether it
	// is true or false, balancers are asked to report responses of the subject.
	Unresponsive bool
}
