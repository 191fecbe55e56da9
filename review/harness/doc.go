//go:build review

// Package harness runs the processes of the deploy file on loopback addresses and calls them as
// the platform's operator does. The words of the platform stand in the files of review/platform.
package harness
