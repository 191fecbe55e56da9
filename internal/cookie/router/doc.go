// Package router finds the upstream of a packet by a cookie that both ends of a
// flow return in each packet, so that any balancer can forward any packet
// without state of the flow.
//
// What it remembers beside that only improves placement: openings that were not
// answered yet, and requests under way, by which it sees silence and load. It
// may lose all of it without breaking a flow. It is a reducer without I/O and
// clock; one goroutine owns it, and its state is mutable for speed.
package router
