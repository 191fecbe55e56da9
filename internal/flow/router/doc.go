// Package router decides where each packet of a flow goes.
//
// Every flow has an owner and replicas (package ownership). A balancer that stores the flow sends
// its packets to the upstream; any other balancer relays them to the owner. Packets replicate the
// flow: an opening is relayed through all replicas before the upstream receives it. When the
// caller acknowledges the upstream's response, the replicas therefore store the flow. After a
// membership change, packets create the missing copies, and so does background repair within a
// byte budget.
//
// An opening is the first packet of a flow (a SYN) and its unfinished handshake. A UDP flow is an
// opening until two of its packets have been relayed through the replicas.
//
// The router is modified in place, because routing a packet of a stored flow must not allocate.
// It is not safe for concurrent use, and the current time is an argument of each call.
package router
