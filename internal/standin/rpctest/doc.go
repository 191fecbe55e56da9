// Package rpctest runs RPC servers on loopback for the duration of a test.
package rpctest
