// Package upstreams receives the announcements of upstreams at a voter, and
// acknowledges a departure only once a majority of the voters holds it.
package upstreams
