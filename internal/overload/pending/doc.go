// Package pending buffers packets that a balancer cannot route yet. After a power failure of all
// VMs, balancers start before a voter has sent them the configuration and the upstreams, and
// callers' packets arrive meanwhile. A dropped packet is retransmitted 0.4 to 1.6 s later; by
// then the caller has often given up. Buffered packets are routed as soon as a voter has answered.
package pending
