// Package reducer implements a balancer as a state machine that turns events into
// effects.
//
// It performs no I/O and reads no clock or random source, so that the replay of a
// recorded trace produces the same effects.
//
// An opening is the first packet of a flow (a SYN) and its unfinished handshake.
package reducer
