// Package accrual implements an accrual failure detector: a voter combines the unanswered packets
// that many balancers report and decides which upstreams are unresponsive.
//
// Enough unanswered packets make an upstream or zone suspected. A later response refutes the
// suspicion. Without a response, and with more evidence, the subject becomes unresponsive.
// Package confirmation then checks that its host is down.
//
// When some upstreams of a pool lose power, each of N balancers sees only an Nth of the
// unanswered packets. A single balancer would need N times as long as all of them together to be
// certain. Meanwhile requests on open flows wait until their deadlines, and each reused flow
// loses a request that cannot be retried.
//
// Evidence is additive: an unanswered packet weighs the negative logarithm of the probability
// that it occurs while the upstream is alive, so lossy links need more packets. A response seen
// by any balancer or voter discards all earlier evidence. Before a subject counts as
// unresponsive, balancers are asked to report responses. More than one balancer must report
// unanswered packets, since a single reporter may cause them itself.
//
// The package does no I/O and reads no clock; it is not safe for concurrent use.
package accrual
