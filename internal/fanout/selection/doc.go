// Package selection decides which source a balancer follows: the voters, or a parent, which is
// another balancer of its zone.
//
// A parent is replaced if it does not answer polls, or if the state that it relays is too old. A
// parent that is paused, partitioned in one direction, or alive without updates keeps its
// connections open and leaves its followers with outdated state. A failed parent is replaced by
// the first of two candidates polled in parallel, or by the voters if neither candidate answers
// soon.
//
// A voter is fresh at a balancer if the last contact with it, direct or relayed, is not older
// than Settings.StaleAfter. A parent with few fresh voters is compared with other candidates
// before it is replaced. If a zone is cut off or all voters are down, no candidate has more fresh
// voters, and every balancer keeps its parent.
//
// The package has no I/O and no clock. A Selection is not safe for concurrent use.
package selection
