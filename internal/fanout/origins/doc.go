// Package origins tracks which state of each voter a balancer has received, and the age of the last
// contact with each voter. An origin is the voter from which state comes, directly or relayed by
// other balancers.
//
// Relayed updates keep the voter's name, life and versions. A balancer can therefore change its
// parent at any time without missing updates, and it knows the age of its data over any number of
// relays, so that it detects a parent that is alive but stale.
//
// The package has no I/O and no clock, and must be used by one goroutine only.
package origins
