// Package ownership assigns each flow to an owner and to further replicas among the balancers.
//
// Flows are hashed into hash slots. Each slot ranks the members by rendezvous hashing (Thaler,
// Ravishankar, 1998). The first member is the owner, and the first three are the replicas, which
// store the flow. If all three are in one zone, the best member of another zone replaces the
// third. A replica thus remains after the loss of any two members or of one zone. After the loss
// of an owner, the new owner already stores the flow.
package ownership
