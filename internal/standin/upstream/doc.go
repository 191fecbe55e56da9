// Package upstream simulates an upstream: it decapsulates GUE packets, replies to
// callers directly (direct server return), and serves HTTP requests.
package upstream
