// Package relay encodes the datagrams in which balancers relay packets to each other.
package relay
