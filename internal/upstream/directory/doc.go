// Package directory keeps what upstreams announced to one voter, as soft state.
//
// Incarnations have no order of their own here: the one that was heard last
// holds an address. A withdrawn incarnation stays withdrawn, so that a delayed
// announcement cannot revive it, until it starts again; a later start goes before
// everything that was heard of earlier ones.
package directory
