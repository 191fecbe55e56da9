// Package router selects the upstream of a packet by a cookie, which both ends of a flow echo in
// each packet. Any balancer can therefore forward any packet without per-flow state, unless several
// upstreams have the cookie (see package allocation). The router
// sees only callers' packets, since upstreams answer callers directly: a caller's acknowledgment
// shows that its upstream answered.
//
// An opening is the first packet of a flow (a SYN), and its handshake until that is complete. The
// router stores pending openings and requests to place new flows, and to detect unresponsive and
// overloaded upstreams; losing this state breaks no flow.
//
// The router is a reducer without I/O or clock; one goroutine owns it, and its state is mutable for
// speed.
package router
