// Package directory keeps the announcements of upstreams that one voter received, as soft state.
//
// An upstream is silent if its announcements to this voter are overdue. Incarnations are not
// ordered: an address belongs to the incarnation that took it last. A withdrawn incarnation stays
// withdrawn until it restarts, so that a delayed announcement cannot revive it. Announcements of
// a later start supersede those of all earlier starts.
package directory
