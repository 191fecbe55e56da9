// Package sample limits the reports of unanswered packets and responses that a balancer forwards
// for its followers.
//
// When many upstreams fail, every balancer of the fleet reports each of them, but a voter
// needs only a few reports per upstream. Forwarding only these bounds the reports that reach the
// voters by the number of upstreams, independent of the number of balancers.
//
// The package does no I/O and reads no clock; it is not safe for concurrent use.
package sample
