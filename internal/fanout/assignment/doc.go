// Package assignment divides things among the balancers of an availability zone so that each
// has one balancer, without a word between them.
package assignment
