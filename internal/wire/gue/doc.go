// Package gue encodes and decodes Generic UDP Encapsulation, variant 0
// (draft-ietf-intarea-gue), in the form that Linux foo-over-udp accepts.
package gue
