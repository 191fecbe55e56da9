// Package balancer implements the balancer process of an entry VM. It adds sockets and
// timers to the reducer, which makes all decisions.
package balancer
