// Package snapshot holds the load of all availability zones as known at one balancer. It answers
// load that one balancer does not see: a zone at 2.4 times its load while two thirds of the slots of
// other zones are free.
//
// Decisions ignore a zone's entry after MaxAge: callers give up after about 1.4 s, so what is older
// tells nothing about the load that they cause. Entries only become younger, never older, whatever
// answers are lost, late, duplicated or reordered. The package does no I/O and reads no clock;
// Requests is not safe for concurrent use.
package snapshot
