// Package door is the HTTP listener of a service: it proxies requests to the upstreams. The caller
// gets the complete response, or an error that says that the request did not run or that
// its outcome is unknown.
package door
