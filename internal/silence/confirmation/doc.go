// Package confirmation holds back what the evidence of balancers says of silent upstreams until
// probes of their hosts say the same.
//
// Packets that are repeated show that someone is late: the upstream, its callers, a balancer or a
// voter, each of which may only wait for a processor. A reset of an open flow cannot be
// undone, so it takes evidence that no such delay brings about: a host that completes no
// handshake.
//
// It has no I/O and no clock; one goroutine owns it.
package confirmation
