// Package origins tracks which state of each voter (the origin) a balancer has received, directly
// or relayed by other balancers, and the age of the last contact with each. Relayed updates keep
// the voter's name, life and versions. A balancer can therefore change its parent at any time
// without missing updates, and it detects a parent that is alive but stale over any number of
// relays.
//
// The package has no I/O and no clock, and must be used by one goroutine only.
package origins
