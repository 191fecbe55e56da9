// Package cookie implements the balancer process that routes flows by cookie. It adds
// sockets, a clock and goroutines to the router, which does no I/O.
package cookie
