// Package ipv4 parses the flow key and TCP flags of an encapsulated (inner) packet with gopacket.
//
// An opening is the first packet of a flow: a SYN without ACK.
package ipv4
