// Package assignment assigns each key to one balancer of an availability zone by rendezvous
// hashing, without coordination between the balancers.
package assignment
