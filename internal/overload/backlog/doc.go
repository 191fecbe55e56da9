// Package backlog queues flow openings for a short time while a narrow link is at its limit of two
// concurrent uploads. Uploads take about 0.3 s each, and openings arrive at random. When openings
// beyond the limit were rejected at once, three balancers in a row rejected one in 60 uploads,
// although an upload ended 0.1 s later. The package does no I/O and reads no clock; its types are
// not safe for concurrent use.
package backlog
