package segment

import (
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const (
	timeToLive = 64
	window     = 65535
)

// Segment is a TCP segment with its IPv4 source and destination.
type Segment struct {
	Source, Destination netip.AddrPort
	Seq, Ack            uint32
	SYN, ACK, FIN, RST  bool
	Payload             []byte
}

// Packet encodes the segment as an IPv4 packet with valid lengths and checksums.
func (s Segment) Packet() ([]byte, error) {
	ip := &layers.IPv4{
		Version: 4, TTL: timeToLive, Protocol: layers.IPProtocolTCP,
		SrcIP: s.Source.Addr().AsSlice(), DstIP: s.Destination.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()), DstPort: layers.TCPPort(s.Destination.Port()),
		Seq: s.Seq, Ack: s.Ack, SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST, Window: window,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, fmt.Errorf("build segment: %w", err)
	}
	b := gopacket.NewSerializeBuffer()
	o := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, o, ip, tcp, gopacket.Payload(s.Payload)); err != nil {
		return nil, fmt.Errorf("build segment: %w", err)
	}
	return b.Bytes(), nil
}

// MalformedError reports a packet that is not IPv4 with TCP.
type MalformedError struct{}

func (MalformedError) Error() string { return "packet is not IPv4 with TCP" }

// Parse decodes an IPv4 packet. The payload aliases the memory of the packet.
func Parse(packet []byte) (Segment, error) {
	var ip layers.IPv4
	var tcp layers.TCP
	if len(packet) == 0 || packet[0]>>4 != 4 || ip.DecodeFromBytes(packet, gopacket.NilDecodeFeedback) != nil {
		return Segment{}, MalformedError{}
	}
	if ip.Protocol != layers.IPProtocolTCP || tcp.DecodeFromBytes(ip.Payload, gopacket.NilDecodeFeedback) != nil {
		return Segment{}, MalformedError{}
	}
	source, _ := netip.AddrFromSlice(ip.SrcIP)
	destination, _ := netip.AddrFromSlice(ip.DstIP)
	return Segment{
		Source:      netip.AddrPortFrom(source, uint16(tcp.SrcPort)),
		Destination: netip.AddrPortFrom(destination, uint16(tcp.DstPort)),
		Seq:         tcp.Seq, Ack: tcp.Ack, SYN: tcp.SYN, ACK: tcp.ACK, FIN: tcp.FIN, RST: tcp.RST,
		Payload: tcp.Payload,
	}, nil
}
