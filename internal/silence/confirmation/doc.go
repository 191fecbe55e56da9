// Package confirmation confirms suspicions by active probes. If an upstream is unresponsive by
// the evidence of balancers, balancers are told so only once a probe shows that it is down.
// Retransmitted packets only show that some process is late: the upstream, its callers, a
// balancer or a voter. A reset of an open flow cannot be undone, so it requires evidence that a
// process waiting for a CPU cannot cause: a host that completes no TCP handshake.
//
// The package does no I/O and reads no clock; it is not safe for concurrent use.
package confirmation
