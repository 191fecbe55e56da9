// Package server serves calls on loopback for the length of a test.
package server
