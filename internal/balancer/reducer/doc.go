// Package reducer implements a balancer as a state machine that turns events into
// effects.
//
// It performs no I/O and reads no clock or random source, so that the replay of a
// recorded trace produces the same effects.
package reducer
