// Package evaluators assigns each upstream to the voters that evaluate the evidence against it.
//
// If every voter received all evidence, all of them would report the same upstreams to the
// balancers, up to the limit of one report: of hundreds of upstreams that fail together, most
// would never be reported.
package evaluators
