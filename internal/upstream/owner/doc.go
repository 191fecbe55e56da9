// Package owner assigns each upstream to its owner, the one voter that receives its announcements.
//
// Whenever an upstream changes its voter, all balancers receive two notices: one from the new voter,
// and one from the former voter when the announcements stop there. Without owners, when all 300
// balancers restarted, each received 3,000 upstreams six times. The owner is in the upstream's
// availability zone if possible, so that its notices reach the balancers there when the zone is
// partitioned.
package owner
