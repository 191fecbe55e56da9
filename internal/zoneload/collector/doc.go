// Package collector holds the latest load report of each sender at a parent or voter, and adds the
// reports up. It answers the load that no single balancer sees: one of 33 balancers of an
// availability zone handles 1/33 of the zone's requests.
//
// A report replaces the sender's last one and expires if none follows it, so a lost, late,
// duplicated or reordered report is never counted twice. The package does no I/O and reads no clock;
// a Collector is not safe for concurrent use.
package collector
