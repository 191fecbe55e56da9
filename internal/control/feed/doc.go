// Package feed serves balancers the current configuration revision, the announced upstreams
// and the addresses of the other voters by long polling.
//
// Balancers fetch the configuration itself by a separate call: a balancer polls several voters, and
// a copy of the configuration from each would saturate a small VM's link. Only a starting balancer
// receives a small configuration together with the other updates.
//
// Some fields keep the names under which they are encoded: Doubts holds suspicions, Recalled stands
// for restored upstreams, Elsewhere for the upstreams of other voters and Passing for relay hops.
package feed
