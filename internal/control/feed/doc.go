// Package feed serves balancers the current configuration revision, the announced upstreams
// and the addresses of the other voters by long polling.
//
// The configuration itself is a separate call: a balancer polls all voters, and copies of the
// configuration from each would saturate a small VM's link.
package feed
