// Package run implements the demonstration: it runs all components on loopback in
// one process, through planned operations and a balancer crash.
package run
