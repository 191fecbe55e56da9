// Package probe checks by TCP handshakes whether the host of an upstream that leaves packets
// unanswered is up. The host's kernel completes a handshake, so an upstream whose process waits for
// a CPU still accepts one. Simultaneous handshakes with other upstreams, the references, show
// whether the probing process itself is cut off or delayed.
package probe
