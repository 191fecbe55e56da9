// Package report defines the load that a balancer reports for itself and its followers.
package report
