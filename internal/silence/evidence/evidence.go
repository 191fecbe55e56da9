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
	// Batch orders the reports with Answers of one balancer: the time of the report in ns. A report
	// that arrives twice or after a later one is not counted.
	Batch uint64 `cbor:",omitempty"`
	// Answers counts short answers by service. Processes that do not know the field ignore it.
	Answers []Answers `cbor:",omitempty"`
}

// Answers counts the answers of one service's upstreams to the callers of one balancer since its
// last report.
type Answers struct {
	Service string `cbor:"1,keyasint"`
	// Total and Short count the answers of all upstreams of the service.
	Total uint32 `cbor:"2,keyasint"`
	Short uint32 `cbor:"3,keyasint,omitempty"`
	// Upstreams is how many upstreams may get new flows, in all zones.
	Upstreams uint32        `cbor:"4,keyasint"`
	Zones     []ZoneAnswers `cbor:"5,keyasint,omitempty"`
}

// ZoneAnswers holds the counts of upstreams of one availability zone.
type ZoneAnswers struct {
	Zone string `cbor:"1,keyasint"`
	// Slots are the slots of all upstreams of the service in the zone.
	Slots  uint32  `cbor:"2,keyasint"`
	Counts []Count `cbor:"3,keyasint"`
}

// Count counts the answers of one instance of an upstream. The cookie identifies the instance in 5
// instead of 18 bytes; it is the cookie of the instance's new
// flows, which no other upstream has.
type Count struct {
	_                   struct{} `cbor:",toarray"`
	Cookie              uint32
	Total, Short, Slots uint32
}

// Reduced is a voter's finding that an upstream answers more requests shortly than the others of its
// service do.
type Reduced struct {
	_      struct{} `cbor:",toarray"`
	Cookie uint32
	// Halvings is how often the weight is halved: the weight is 2 to the power of -Halvings.
	Halvings uint8
	// Ratio is the logarithm of the likelihood ratio that led to the finding. Total and Short are
	// the answers that were counted, and OthersPermille is the share of short answers of the other
	// upstreams.
	Ratio          uint16
	Total, Short   uint32
	OthersPermille uint16
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
