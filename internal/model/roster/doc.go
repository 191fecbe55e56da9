// Package roster defines the replicated list of balancers that store idempotency keys.
//
// Gossip cannot determine which balancers store a key: both sides of a partition would each
// find a majority. The roster therefore changes only in the voters' log.
//
// A new list is used together with the previous one until the change is settled, that is, until
// every granted key is copied to the members of the new list or has expired.
package roster
