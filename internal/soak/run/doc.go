// Package run plays a random run of the real programs as separate processes on
// loopback, disturbs them from outside, and checks what must always hold by
// what callers, upstreams and operators see.
package run
