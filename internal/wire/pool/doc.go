// Package pool reuses idle rpc connections to each peer.
package pool
