// Package owner assigns each upstream to its owner, the one voter that receives its
// announcements.
//
// Whenever an upstream changes its voter, all balancers receive two notices: one from the new
// voter, and one from the former voter when the announcements to it stop. Without owners, when
// all 300 balancers restarted, each balancer received 3,000 upstreams six times. The owner is in
// the upstream's availability zone if possible, so that the owner's notices reach the balancers
// of the zone even while the zone is partitioned.
package owner
