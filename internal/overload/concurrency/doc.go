// Package concurrency decides how many requests one balancer may have under way at the
// upstreams of a service.
package concurrency
