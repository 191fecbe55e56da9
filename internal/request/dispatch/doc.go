// Package dispatch selects the upstream of a request and queues requests that must
// wait.
//
// It relies on what this balancer measures: outstanding requests, rejections, failures
// and latency. Load reports of upstreams are not used; they can be late or wrong.
package dispatch
