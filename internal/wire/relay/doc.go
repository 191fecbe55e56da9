// Package relay encodes the datagrams in which balancers forward packets to each other.
package relay
