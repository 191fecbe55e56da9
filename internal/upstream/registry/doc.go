// Package registry keeps the announcements of upstreams as soft state that balancers share
// by gossip.
//
// An announcement is a lease. Later ones, by incarnation and sequence, replace earlier ones;
// withdrawn ones are kept as tombstones, so that delayed gossip cannot revive them.
package registry
