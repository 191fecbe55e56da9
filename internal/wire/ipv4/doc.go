// Package ipv4 parses the flow key and TCP flags of an inner packet with gopacket.
package ipv4
