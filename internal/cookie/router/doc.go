// Package router selects the upstream of a packet by a cookie that both ends of a flow echo in each
// packet, so that any balancer can forward any packet without per-flow state. It sees only callers'
// packets, since upstreams answer directly: a caller's acknowledgments show that an upstream
// answered.
//
// Pending openings and requests serve placement and the detection of unresponsive upstreams and of
// load; losing them breaks no flow. The router is a reducer without I/O or clock; one goroutine
// owns it, and its state is mutable for speed.
package router
