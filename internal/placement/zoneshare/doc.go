// Package zoneshare decides which share of an availability zone's new flows goes to which other
// zone.
//
// The load that it answers: the callers of one zone need more slots than the zone has, or nearly as
// many, while other zones have free capacity. Measured with 80 slots in each of three zones and one
// zone at 2.4 times its load, 1,328 requests failed while two thirds of the other zones' slots were
// free.
//
// Every balancer of a zone computes the same shares from the load of all zones, and applies them to
// its own new flows by their hash. The shares therefore hold for any number of balancers, without a
// message between them. The demand of a zone is counted wherever its flows go. A share thus does
// not remove the demand that it is derived from, and does not vary with its own effect.
//
// The thresholds follow from what callers wait for: see sendAbove, receiveBelow and timeConstant.
//
// The package does no I/O and reads no clock; its types are not safe for concurrent use.
package zoneshare
