// Package startbalancer implements the stage that starts a balancer.
package startbalancer
