// Package directory keeps the announcements of upstreams that one voter received, as soft state.
// Incarnations are not ordered: an address belongs to the one that took it last. A withdrawn
// incarnation stays withdrawn until it restarts, so that a delayed announcement cannot revive it.
// Announcements of a later start supersede those of all earlier ones.
package directory
