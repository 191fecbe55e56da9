// Package tree derives who follows whom among the balancers of an availability zone.
//
// Each balancer works its place out for itself, from the addresses of its zone's
// balancers alone: their hashes put them in one order, whose first few follow the voters
// and the rest those of the level above. Whoever a balancer may follow has a lower hash
// than it has itself, whatever list of balancers either of them holds. So no two of them
// can follow each other, nor can more of them form a ring, and no message is needed to
// agree on it.
package tree
