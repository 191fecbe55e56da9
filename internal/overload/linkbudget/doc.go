// Package linkbudget decides which new flows the narrow link of a VM can carry.
//
// The load that it answers: the callers of one availability zone need three quarters of the links of
// its balancers, and a short burst fills them. Callers retransmit openings and requests after 200
// ms, also those that are only queued. The retransmissions keep the link full after the burst: half
// of the received bytes were retransmissions, and the links stayed saturated for 8 s.
//
// Each direction of the link has a budget, a queue in bytes that drains at a little less than the
// bandwidth. Admitting a flow adds the bytes that flows of its class cost, before they pass. Whatever
// belongs to no admitted flow adds its bytes when it passes. An opening is rejected at once if the
// queue would delay packets too long for the caller's retransmission timeout: a handshake and a
// request each pass both directions, and twice 80 ms and the transit stay below 200 ms.
package linkbudget
