// Package slotassignment assigns the request slots of all upstreams to balancers. Every balancer
// computes the same assignment, so the balancers share each limit without a message per request.
package slotassignment
