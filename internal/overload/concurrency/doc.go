// Package concurrency limits the requests that one balancer may have in flight at the
// upstreams of a service.
package concurrency
