// Package door proxies the HTTP requests of a service to its upstreams. The caller
// gets the complete response, or an error that says that the request did not run or that
// its outcome is unknown.
package door
