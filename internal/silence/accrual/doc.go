// Package accrual decides from the evidence of many balancers which upstreams have
// fallen silent.
//
// The load pattern it answers: some upstreams of a pool lose power at once. Each of N
// balancers sees an Nth of the packets that go there, and takes N times as long as all
// together to be sure; meanwhile requests on open flows wait for an answer until their
// deadlines, and one that may not be repeated is lost with each flow that is used again.
//
// Evidence is additive: each unanswered packet weighs the negative logarithm of its
// chance where the upstream lives, so that a link that loses one packet in three needs
// more of them than one that loses none. A sign of life that any balancer or voter sees
// ends all evidence of before. Balancers are asked for one before a subject counts as
// unresponsive, and more than one of them must have seen the silence: a single one may
// be the cause of it.
//
// It has no I/O and no clock; one goroutine owns it.
package accrual
