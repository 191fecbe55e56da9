// Package proxy forwards TCP connections and UDP datagrams between processes on loopback and injects
// network faults: delay, reset, refusal, and loss in one direction or both.
package proxy
