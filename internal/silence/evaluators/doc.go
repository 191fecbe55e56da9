// Package evaluators distributes the evidence of unresponsive upstreams among voters.
//
// When every voter received all evidence, all of them reported the same upstreams to all
// balancers, up to the limit of one report: of hundreds of upstreams that failed together,
// most were never reported.
package evaluators
