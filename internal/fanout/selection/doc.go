// Package selection decides which source a balancer follows: the voters, or a parent, which is
// another balancer of its zone.
//
// A parent is replaced because the state that it relays is too old, not for its connection alone:
// one that is paused, partitioned in one direction, or alive without updates would keep the
// connection open and leave its followers with outdated state. A failed parent is replaced by the
// first of two candidates polled in parallel, or by the voters if neither answers soon.
//
// A parent with few fresh voters is compared with other candidates before it is replaced. If a zone
// is cut off or all voters are down, no candidate has more, and every balancer keeps its parent.
//
// The package has no I/O and no clock. A Selection is not safe for concurrent use.
package selection
