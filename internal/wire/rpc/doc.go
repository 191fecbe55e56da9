// Package rpc implements calls between processes over drpc, with CBOR bodies
// and token authentication. A failed call returns the type name of the remote error.
package rpc
