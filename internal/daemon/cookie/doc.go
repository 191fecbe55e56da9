// Package cookie implements the balancer process that routes flows by cookie. It adds
// sockets, a clock and goroutines to the router, which does no I/O.
//
// An opening is the first packet of a flow (a SYN), or the handshake that this packet began
// and that is not complete.
package cookie
