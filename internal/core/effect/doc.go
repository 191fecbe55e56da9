// Package effect defines the outputs of a balancer's reducer, as data.
package effect
