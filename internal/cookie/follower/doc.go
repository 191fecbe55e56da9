// Package follower keeps a long poll open to every known voter, or to a parent balancer, and passes
// the responses to a listener.
package follower
