// Package probe finds out whether the host of an upstream that leaves packets unanswered is
// there, by TCP handshakes with the upstream's address.
//
// A handshake is completed by the host's kernel: an upstream whose process waits for a
// processor still accepts one, and the delay of the process that asks is told apart by
// handshakes with other upstreams in the same time.
package probe
