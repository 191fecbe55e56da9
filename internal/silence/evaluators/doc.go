// Package evaluators assigns each upstream to the voters that evaluate the evidence against it.
//
// If every voter received all evidence, all voters would report the same upstreams to the
// balancers, each up to its limit. If hundreds of upstreams failed together, most would never be
// reported.
package evaluators
