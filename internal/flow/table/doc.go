// Package table stores flow entries in a pointer-free hash table with open addressing.
//
// An opening is a flow in state Opening: its first packet (a SYN) has arrived, but its handshake is
// unfinished.
//
// Unlike most types of this module, a table is modified in place, because a lookup must not
// allocate. It is not safe for concurrent use.
package table
