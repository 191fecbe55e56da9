// Package follower keeps one long-lived question open at each voter that is
// known, and hands what they answer to a balancer.
package follower
