// Package tree derives the fan-out tree of an availability zone's balancers. Each balancer computes
// its place from the addresses of the zone's balancers alone. Their hashes define one order: the
// first few, the roots, follow the voters, and each further level follows the one above. Every
// candidate parent has a lower hash than its follower, whatever balancer lists the two hold. The
// tree therefore has no cycles, and needs no messages for agreement.
package tree
