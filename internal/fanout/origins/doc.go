// Package origins keeps how far one balancer has heard each voter, directly or through
// other balancers, and how long ago each was last in touch.
//
// What is passed on keeps the voter's name, life and versions. So a balancer may change
// whom it follows at any time and misses nothing, and knows the age of what it is told
// however many balancers passed it on: one that is alive but stale is known by that age.
//
// It has no I/O and no clock; one goroutine owns it.
package origins
