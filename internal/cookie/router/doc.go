// Package router selects the upstream of a packet by a cookie that both ends of a flow echo
// in each packet, so that any balancer can forward any packet without per-flow state. It sees
// only the packets of callers, since upstreams answer them directly: that an upstream answered
// follows from a caller's acknowledgments.
//
// The state it does keep only improves placement: pending openings and requests, from which
// it detects unresponsive upstreams and load. Losing it breaks no flow. The router is a
// reducer without I/O or clock; one goroutine owns it, and its state is mutable for speed.
package router
