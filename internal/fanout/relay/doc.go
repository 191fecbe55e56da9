// Package relay answers the balancers that follow this one with what it has heard of the
// voters.
package relay
