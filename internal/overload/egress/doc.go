// Package egress drops packets before the queue of a VM's narrow link is full.
//
// The load that it answers: a link that is offered more than its bandwidth, such as a burst of
// retransmissions and resets. On the platform a link of 2 Mbit/s holds 50 ms of packets, and packets
// beyond that are dropped but still use bandwidth: of 1,500 datagrams offered at 1.2 times the
// bandwidth 544 passed, of 2,000 at 1.6 times 311, of 3,000 at 2.4 times 36. So the link carries most
// if it is never offered more than it carries, and what is dropped should be what matters least.
package egress
