// Package slotassignment assigns the slots of all upstreams to balancers. Every balancer
// computes the same assignment, so they share a limit without a message per request.
package slotassignment
