// Package upstreams receives the announcements of upstreams at a voter. It acknowledges a departure,
// as defined in package upstream, only once a majority of the voters has stored the announcement.
package upstreams
