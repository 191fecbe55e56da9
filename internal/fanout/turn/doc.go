// Package turn decides which voter a balancer asks first after its start, and when others.
//
// All voters start when all balancers do, and an answer with all upstreams takes a voter a
// third of a millisecond and a narrow link some ten: one such answer is enough. Which voter is
// back first nobody knows, so connections are opened to all of them at once.
//
// It has no I/O and no clock; one goroutine owns it.
package turn
