// Package feed serves balancers the current configuration revision, the announced upstreams
// and the addresses of the other voters by long polling.
//
// A separate call fetches the configuration itself; only a starting balancer gets it with the
// other updates, if it is small. A balancer polls several voters, and a copy of the configuration
// from each would saturate a small VM's link.
package feed
