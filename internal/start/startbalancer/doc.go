// Package startbalancer implements the start-up stage that starts a balancer.
package startbalancer
