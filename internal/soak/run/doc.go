// Package run executes one randomized soak run. It starts the real programs as processes on
// loopback, injects faults, and checks invariants on what callers, upstreams and operators observe.
// An opening is the first packet of a flow (a SYN).
package run
