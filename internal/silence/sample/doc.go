// Package sample chooses which reports of silence a balancer passes on for those that
// follow it.
//
// Where many upstreams fall silent each balancer of the fleet reports each of them, and a
// few such reports are all that a voter needs. Passing on a few of each upstream keeps what
// reaches the voters by the number of upstreams, whatever the number of balancers.
//
// It has no I/O and no clock; one goroutine owns it.
package sample
