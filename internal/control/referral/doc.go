// Package referral assigns upstreams that announce themselves at a voter to a balancer,
// which receives their further announcements.
//
// It has no I/O and no clock, and is not safe for concurrent use.
package referral
