// Package referral chooses the balancer to which an upstream announces itself from then
// on, in place of a voter.
//
// It has no I/O and no clock; one goroutine owns it.
package referral
