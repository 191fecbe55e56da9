// Package owner assigns each upstream to its owner, the one voter that receives its announcements.
//
// An upstream that alternates between two voters causes two notices to all balancers each time,
// since each voter notifies them of its upstreams, and again when their announcements stop: when
// all 300 balancers restarted, each received 3,000 upstreams six times. The owner is in the
// upstream's availability zone if possible, so that its notices reach the balancers there when the
// zone is partitioned.
package owner
