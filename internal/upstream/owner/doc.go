// Package owner assigns each upstream to its owner, the voter that receives its announcements.
//
// Each voter notifies all balancers of the upstreams that announce themselves to it, and again
// when their announcements stop. An upstream that alternates between two voters causes two
// notices each time: when all 300 balancers restarted, each received 3,000 upstreams six times.
//
// All announcements of an upstream therefore go to one voter, in its own availability zone if
// possible, so that the voter's notices reach the balancers there when the zone is partitioned.
package owner
