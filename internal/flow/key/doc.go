// Package key identifies a flow by its IPv4 five-tuple.
package key
