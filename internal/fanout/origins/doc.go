// Package origins tracks which state of each voter (the origin) a balancer has received, directly
// or relayed by other balancers, and the age of the last contact with each voter.
//
// Relayed updates keep the voter's name, its versions and its life, which identifies the run of
// its process. A balancer can therefore change its parent at any time without missing updates.
// However many balancers relay in between, it also detects a parent that responds but receives no
// new voter state.
//
// A voter is fresh if the last contact with it is recent enough for the caller (CountFresh), and
// stale otherwise.
//
// The package has no I/O and no clock, and must be used by one goroutine only.
package origins
