package relay

import (
	"encoding/binary"
	"net/netip"
)

// Kind is the first byte of relay datagrams; it distinguishes them from other datagrams on the peer port.
const Kind = 1

const (
	fixedSize   = 34
	addressSize = 6
	// maxPath is the maximum number of members that a packet visits.
	maxPath = 10
)

// Flags of a relayed packet.
const (
	// FlagHasEntry marks a packet whose Target is the flow's upstream.
	FlagHasEntry = 1 << iota
	// FlagNotFound marks a packet whose flow no visited member has.
	FlagNotFound
	// FlagLookup marks a packet that looks up the flow's entry on behalf of Origin.
	FlagLookup
	// FlagStale means that the last hop of the path is a member whose entry may be outdated. This
	// entry is used only if no other member has an entry.
	FlagStale
)

// MalformedError reports why a datagram is not a valid relayed packet.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed relay datagram: " + e.Reason }

var (
	errShort = &MalformedError{Reason: "shorter than its header"}
	errPath  = &MalformedError{Reason: "path too long"}
)

// Target identifies an upstream without pointers; Service is a hash of the service name.
type Target struct {
	Incarnation uint64
	Service     uint32
	Address     [4]byte
	Port        uint16
}

// AddrPort returns the tunnel address of the target.
func (t Target) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Address), t.Port)
}

// Header describes a relayed packet: its flow entry, if known, and the members still to visit.
type Header struct {
	Flags      uint8
	State      uint8
	Hops       uint8
	Target     Target
	Origin     netip.AddrPort
	path       [maxPath]netip.AddrPort
	pathLength int
}

// AddHop appends a member to the path; hops beyond maxPath are ignored.
func (h *Header) AddHop(a netip.AddrPort) {
	if h.pathLength < maxPath {
		h.path[h.pathLength] = a
		h.pathLength++
	}
}

// PathEmpty reports whether the path is empty.
func (h *Header) PathEmpty() bool { return h.pathLength == 0 }

// NextHop removes the first member from the path and returns this member. The bool is false if the
// path is empty.
func (h *Header) NextHop() (netip.AddrPort, bool) {
	if h.pathLength == 0 {
		return netip.AddrPort{}, false
	}
	next := h.path[0]
	copy(h.path[:], h.path[1:h.pathLength])
	h.pathLength--
	return next, true
}

// HasFlag reports whether a flag is set.
func (h *Header) HasFlag(flag uint8) bool { return h.Flags&flag != 0 }

// Append appends the encoded header to b; the packet follows it.
func (h *Header) Append(b []byte) []byte {
	b = append(b, Kind, h.Flags, h.State, h.Hops, uint8(h.pathLength), 0, 0, 0)
	b = AppendTarget(b, h.Target)
	b = appendAddress(b, h.Origin)
	b = append(b, 0, 0)
	for _, a := range h.path[:h.pathLength] {
		b = appendAddress(b, a)
	}
	return b
}

// TargetSize is the length of an encoded target in bytes.
const TargetSize = 18

// AppendTarget appends an encoded target to b.
func AppendTarget(b []byte, t Target) []byte {
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint32(b, t.Service)
	b = append(b, t.Address[:]...)
	return binary.BigEndian.AppendUint16(b, t.Port)
}

// DecodeTarget decodes a target from the first TargetSize bytes of b.
func DecodeTarget(b []byte) Target {
	return Target{
		Incarnation: binary.BigEndian.Uint64(b),
		Service:     binary.BigEndian.Uint32(b[8:]),
		Address:     [4]byte(b[12:16]),
		Port:        binary.BigEndian.Uint16(b[16:]),
	}
}

func appendAddress(b []byte, a netip.AddrPort) []byte {
	ip := [4]byte{}
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func decodeAddress(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

// Decode decodes a header and returns the packet after it as a slice of b.
func Decode(b []byte, h *Header) ([]byte, error) {
	if len(b) < fixedSize {
		return nil, errShort
	}
	h.Flags, h.State, h.Hops, h.pathLength = b[1], b[2], b[3], int(b[4])
	if h.pathLength > maxPath {
		return nil, errPath
	}
	h.Target = DecodeTarget(b[8:])
	h.Origin = decodeAddress(b[8+TargetSize:])
	b = b[fixedSize:]
	if len(b) < h.pathLength*addressSize {
		return nil, errShort
	}
	for i := range h.pathLength {
		h.path[i] = decodeAddress(b[i*addressSize:])
	}
	return b[h.pathLength*addressSize:], nil
}
