// Package tree derives the fan-out tree of an availability zone's balancers. Each balancer
// computes its place from the addresses of the zone's balancers alone. The hashes of the
// addresses define one order: the first few balancers, the roots, follow the voters, and each
// further level follows the level above. Every candidate parent has a lower hash than its
// follower, even if the two hold different balancer lists. The tree therefore has no cycles, and
// needs no messages for agreement.
package tree
