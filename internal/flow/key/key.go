package key

import (
	"encoding/binary"
	"net/netip"
)

// Size is the length of an encoded key in bytes.
const Size = 13

// Key is the five-tuple of a flow. It has no pointers, so that the garbage collector
// does not scan tables of keys.
type Key struct {
	Source, Destination         [4]byte
	SourcePort, DestinationPort uint16
	Protocol                    uint8
}

// Service returns the destination address and port.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Destination), k.DestinationPort)
}

// Hash returns a 64-bit hash of all fields, the same on every balancer.
func (k Key) Hash() uint64 {
	a := uint64(binary.BigEndian.Uint32(k.Source[:]))<<32 | uint64(binary.BigEndian.Uint32(k.Destination[:]))
	b := uint64(k.SourcePort)<<32 | uint64(k.DestinationPort)<<16 | uint64(k.Protocol)
	return Mix(Mix(a) ^ b)
}

// Mix is the finalizer of SplitMix64 (Steele, Lea, Flood, 2014).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Append appends the wire encoding of the key to b.
func (k Key) Append(b []byte) []byte {
	b = append(b, k.Source[:]...)
	b = append(b, k.Destination[:]...)
	b = binary.BigEndian.AppendUint16(b, k.SourcePort)
	b = binary.BigEndian.AppendUint16(b, k.DestinationPort)
	return append(b, k.Protocol)
}

// Decode decodes a key from the first Size bytes of b.
func Decode(b []byte) Key {
	return Key{
		Source: [4]byte(b[0:4]), Destination: [4]byte(b[4:8]),
		SourcePort: binary.BigEndian.Uint16(b[8:]), DestinationPort: binary.BigEndian.Uint16(b[10:]),
		Protocol: b[12],
	}
}
