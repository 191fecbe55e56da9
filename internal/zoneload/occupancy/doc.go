// Package occupancy estimates the slots that the callers of one balancer occupy at the upstreams of
// one service in one availability zone. It answers load that shifts between zones within half a
// second: a window of 200 ms holds a few requests even of a balancer with a small share, and ends
// before callers have retransmitted and retried.
//
// The package does no I/O and reads no clock; an Occupancy is not safe for concurrent use.
package occupancy
