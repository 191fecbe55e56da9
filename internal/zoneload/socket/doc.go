// Package socket sends and receives load reports and their answers as signed UDP datagrams, at the
// IP address and port that serve RPCs over TCP.
//
// A datagram is a byte for the kind, a CBOR array and a signature. It is at most MaxSize bytes long,
// so that no network on the way fragments it. Lost datagrams are not repeated: the next report
// replaces them.
package socket
