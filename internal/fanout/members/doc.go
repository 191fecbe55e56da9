// Package members keeps which balancers were heard of lately, as soft state.
//
// A balancer that follows another one is heard of through it: each process tells those
// that it follows of all who follow it, with the time since it heard of each. Nobody
// counts balancers by connections, so that a voter knows a fleet of thousands by the few
// that ask it.
//
// It has no I/O and no clock; one goroutine owns it.
package members
