// Package waiting keeps the packets that a balancer cannot place yet.
//
// Load pattern: after a loss of power everywhere all balancers start before a
// voter has told them the configuration and the upstreams, and callers' packets
// arrive meanwhile. Their next repetition comes 0.4 to 1.6 s later, often after
// the caller has given up. Kept for the moment, they are placed as soon as a
// voter has answered.
package waiting
