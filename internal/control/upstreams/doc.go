// Package upstreams takes the announcements of upstreams at a voter, and
// acknowledges a departure only when other voters hold it too.
package upstreams
