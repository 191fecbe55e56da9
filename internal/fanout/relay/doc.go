// Package relay lets a balancer answer the polls of its followers with the voter state that it has
// received.
package relay
