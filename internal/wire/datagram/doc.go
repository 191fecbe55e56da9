// Package datagram sends and receives UDP datagrams in batches.
package datagram
