// Package evidence defines the messages that balancers and voters exchange about upstreams that
// leave packets unanswered.
//
// A suspicion is a voter's evaluation of the unanswered packets of one subject, an upstream or a
// zone. The subject is suspected once the evidence reaches a first threshold (package accrual).
// It becomes unresponsive if no response refutes the suspicion, the evidence reaches a higher
// threshold, and probes confirm that hosts are down (package confirmation).
package evidence
