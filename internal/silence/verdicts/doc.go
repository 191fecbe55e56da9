// Package verdicts holds at a balancer the upstreams that voters found to answer more requests
// shortly than their peers, and relays them to the balancers that follow it. It does no I/O and reads
// no clock; it is not safe for concurrent use.
package verdicts
