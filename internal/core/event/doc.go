// Package event defines the inputs of a balancer's reducer, as data.
package event
