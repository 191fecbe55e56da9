// Package sample limits the reports of unanswered packets that a balancer relays for its
// followers.
//
// When many upstreams fail, every balancer of the fleet reports each of them, but a voter
// needs only a few reports per upstream. Relaying a few of each bounds the reports that reach
// the voters by the number of upstreams, independent of the number of balancers.
//
// The package does no I/O and reads no clock; it is not safe for concurrent use.
package sample
