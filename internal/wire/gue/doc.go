// Package gue encodes and decodes Generic UDP Encapsulation, variant 0 (draft-ietf-intarea-gue).
// Linux foo-over-udp accepts this encoding.
package gue
