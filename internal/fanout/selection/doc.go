// Package selection decides whom a balancer follows: the voters, or another balancer of
// its zone, its parent.
//
// A parent is left for the age of what it passes on, never for its connection alone: one
// that stands still, is cut off in one direction, or is alive and hears nothing would keep
// a connection open and its followers in the past. A parent that fails is replaced by two
// candidates at once, and by the voters where neither answers soon. A parent that hears
// few voters is compared with others first: where a zone is cut off, or all voters are
// down, none hears more, and nobody leaves.
//
// It has no I/O and no clock; one goroutine owns it.
package selection
