// Package backlog queues flow openings for a short time while a narrow link is at
// its limit of concurrent uploads.
//
// A link carries two uploads at once, each for about 0.3 s, and openings arrive at random.
// When openings beyond that were rejected at once, three balancers in a row rejected one
// in 60 uploads, although an upload ended 0.1 s later.
//
// The package does no I/O and reads no clock; its types are not safe for concurrent use.
package backlog
