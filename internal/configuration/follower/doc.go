// Package follower keeps the newest configuration that a balancer has received.
package follower
