// Package probe checks by TCP handshakes whether the host of an upstream that leaves packets
// unanswered is up. The host's kernel completes a handshake, so the host accepts one even while
// the upstream's process waits for a CPU. Simultaneous handshakes with other upstreams, the
// references, show whether the probing process itself is cut off or delayed.
package probe
