package ipv4

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"wasabideal/internal/flow/key"
)

// MalformedError reports why an inner packet is dropped.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "inner packet dropped: " + e.Reason }

var (
	errHeader    = &MalformedError{Reason: "no valid IPv4 header"}
	errLength    = &MalformedError{Reason: "length differs from its header"}
	errFragment  = &MalformedError{Reason: "fragment"}
	errTransport = &MalformedError{Reason: "no valid TCP or UDP header"}
	errProtocol  = &MalformedError{Reason: "protocol is neither TCP nor UDP"}
)

// Parser parses one packet at a time into its own fields, without allocation.
type Parser struct {
	ip  layers.IPv4
	tcp layers.TCP
	udp layers.UDP

	Key key.Key
	// Opening is set for a TCP SYN without ACK.
	Opening bool
	// Acknowledges is set for a TCP segment with ACK but without SYN or RST: its sender has received
	// the SYN-ACK.
	Acknowledges bool
	// Closing is set for FIN or RST.
	Closing bool
	// Datagram is set for UDP, where any packet may be the first of a flow.
	Datagram bool
}

// Parse parses one inner packet into the parser's fields.
//
// Fragments are rejected: all but the first lack ports, so their service is unknown.
func (p *Parser) Parse(packet []byte) error {
	if len(packet) < 20 || packet[0]>>4 != 4 {
		return errHeader
	}
	if err := p.ip.DecodeFromBytes(packet, gopacket.NilDecodeFeedback); err != nil {
		return errHeader
	}
	if int(p.ip.Length) != len(packet) {
		return errLength
	}
	if p.ip.FragOffset != 0 || p.ip.Flags&layers.IPv4MoreFragments != 0 {
		return errFragment
	}
	p.Key = key.Key{Source: [4]byte(p.ip.SrcIP), Destination: [4]byte(p.ip.DstIP), Protocol: uint8(p.ip.Protocol)}
	switch p.ip.Protocol {
	case layers.IPProtocolTCP:
		return p.parseTCP()
	case layers.IPProtocolUDP:
		return p.parseUDP()
	default:
		return errProtocol
	}
}

func (p *Parser) parseTCP() error {
	if err := p.tcp.DecodeFromBytes(p.ip.Payload, gopacket.NilDecodeFeedback); err != nil {
		return errTransport
	}
	p.Key.SourcePort, p.Key.DestinationPort = uint16(p.tcp.SrcPort), uint16(p.tcp.DstPort)
	p.Opening = p.tcp.SYN && !p.tcp.ACK
	p.Closing = p.tcp.FIN || p.tcp.RST
	p.Acknowledges = p.tcp.ACK && !p.tcp.SYN && !p.tcp.RST
	p.Datagram = false
	return nil
}

func (p *Parser) parseUDP() error {
	if err := p.udp.DecodeFromBytes(p.ip.Payload, gopacket.NilDecodeFeedback); err != nil {
		return errTransport
	}
	p.Key.SourcePort, p.Key.DestinationPort = uint16(p.udp.SrcPort), uint16(p.udp.DstPort)
	p.Opening, p.Closing, p.Acknowledges = false, false, false
	p.Datagram = true
	return nil
}
