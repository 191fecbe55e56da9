// Package segment encodes and decodes IPv4/TCP packets for simulated peers and tests.
package segment
