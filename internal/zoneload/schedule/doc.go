// Package schedule decides when a balancer sends its load report, and to which receivers.
//
// It answers a load that shifts between zones within a few seconds: reports are frequent while the
// load changes, and rare otherwise. A balancer with a parent reports to the parent. A balancer
// without a parent reports to two voters, the same two for all balancers, because each voter sums
// only the reports that it receives.
//
// The package has no I/O and no clock. A Schedule is not safe for concurrent use.
package schedule
