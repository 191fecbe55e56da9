// Package registry keeps the announcements of upstreams as soft state that balancers share
// by gossip.
//
// An announcement is a lease. Later announcements of an address, ordered by incarnation and sequence,
// replace earlier ones. Withdrawn upstreams are kept as tombstones, so that delayed gossip cannot
// revive them.
package registry
