// Package backlog queues the openings of uploads for a short time while a narrow link is at its
// limit of two concurrent uploads. An opening is the first packet of a flow (a SYN).
//
// Uploads take about 0.3 s each, and openings arrive at random. When openings beyond the limit were
// rejected at once, one upload in 60 was rejected by three balancers in a row, although another
// upload ended 0.1 s later. The package does no I/O and reads no clock; its types are not safe for
// concurrent use.
package backlog
