// Package relay answers the polls of a balancer's followers with the voter state that the balancer
// has received.
package relay
