package gue

import "fmt"

const (
	headerSize   = 4
	protocolIPv4 = 4
	wordSize     = 4
	variantMask  = 0xc0
	controlBit   = 0x20
	lengthMask   = 0x1f
)

// MalformedError reports why a datagram is not a supported GUE packet.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed GUE datagram: " + e.Reason }

var (
	errShort    = &MalformedError{Reason: "shorter than its header"}
	errVariant  = &MalformedError{Reason: "variant is not 0"}
	errControl  = &MalformedError{Reason: "control message"}
	errProtocol = &MalformedError{Reason: "inner protocol is not IPv4"}
)

// Header is the GUE header in front of an IPv4 packet, without optional fields.
type Header [headerSize]byte

// New returns a header for an encapsulated IPv4 packet.
func New() Header { return Header{0, protocolIPv4, 0, 0} }

// Inner returns the encapsulated IPv4 packet as a slice of the datagram.
func Inner(datagram []byte) ([]byte, error) {
	if len(datagram) < headerSize {
		return nil, errShort
	}
	if datagram[0]&variantMask != 0 {
		return nil, errVariant
	}
	if datagram[0]&controlBit != 0 {
		return nil, errControl
	}
	if datagram[1] != protocolIPv4 {
		return nil, errProtocol
	}
	size := headerSize + int(datagram[0]&lengthMask)*wordSize
	if len(datagram) < size {
		return nil, fmt.Errorf("options: %w", errShort)
	}
	return datagram[size:], nil
}
