//go:build review

package harness

import (
	"encoding/binary"
	"net"
	"net/netip"
)

// The flags of a packet.
const (
	FlagFinish      = 1
	FlagAcknowledge = 2
	FlagReset       = 4
	FlagOpen        = 64
)

// headSize is the size of a packet's header, idSize that of the target's id in front of it.
const (
	headSize = 36
	idSize   = 8
)

// Packet is a packet of a flow; the keyed sum is left at 0, since only the stand-ins read it.
type Packet struct {
	From, To      netip.AddrPort
	Flags         byte
	Echo          uint32
	Sequence, Ack uint32
	Data          []byte
}

// Encode returns the bytes of the packet.
func (p Packet) Encode() []byte {
	b := make([]byte, headSize, headSize+len(p.Data))
	put := binary.LittleEndian
	put.PutUint32(b[0:], p.Sequence)
	put.PutUint32(b[4:], p.Ack)
	put.PutUint16(b[8:], p.From.Port())
	put.PutUint32(b[10:], number(p.From))
	put.PutUint16(b[14:], p.To.Port())
	put.PutUint32(b[16:], number(p.To))
	put.PutUint32(b[20:], p.Echo)
	b[24] = p.Flags
	put.PutUint16(b[34:], uint16(len(p.Data)))
	return append(b, p.Data...)
}

// Decode reads a packet, and reports false if the bytes are none.
func Decode(b []byte) (Packet, bool) {
	if len(b) < headSize {
		return Packet{}, false
	}
	get := binary.LittleEndian
	p := Packet{
		Sequence: get.Uint32(b[0:]), Ack: get.Uint32(b[4:]), Echo: get.Uint32(b[20:]), Flags: b[24],
		From: endpoint(get.Uint32(b[10:]), get.Uint16(b[8:])), To: endpoint(get.Uint32(b[16:]), get.Uint16(b[14:])),
		Data: b[headSize:],
	}
	return p, int(get.Uint16(b[34:])) == len(p.Data)
}

func number(a netip.AddrPort) uint32 {
	x := a.Addr().As4()
	return binary.BigEndian.Uint32(x[:])
}

func endpoint(n uint32, port uint16) netip.AddrPort {
	var x [4]byte
	binary.BigEndian.PutUint32(x[:], n)
	return netip.AddrPortFrom(netip.AddrFrom4(x), port)
}

// listenUDP opens a socket with a large receive buffer.
func listenUDP(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp4", a)
	if err == nil {
		_ = c.SetReadBuffer(1 << 20)
	}
	return c, err
}
