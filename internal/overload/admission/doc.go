// Package admission turns new flows of an overloaded service away.
//
// The load pattern it answers: callers ask for more than the upstreams can work
// off. Each upstream then holds a full queue, every request waits behind it, and
// nearly all answers come later than callers want, though the upstreams work at
// full speed. Turning the excess away at its opening keeps the queues short, so
// that the rest is in time; a caller that is turned away knows at once, and may
// try again.
//
// It has no I/O and no clock; one goroutine owns it.
package admission
