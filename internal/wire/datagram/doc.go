// Package datagram reads and writes UDP datagrams in batches.
package datagram
