// Package proxy stands between processes on loopback and disturbs their
// connections: it delays, resets, refuses and silences them, one way or both.
package proxy
