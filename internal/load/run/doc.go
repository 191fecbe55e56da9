// Package run generates load on running balancers from simulated callers and
// upstreams, and counts the results that they observe.
package run
