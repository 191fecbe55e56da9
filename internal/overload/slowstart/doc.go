// Package slowstart bounds the flows that an upstream gets which has just started.
package slowstart
