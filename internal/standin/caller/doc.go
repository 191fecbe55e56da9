// Package caller simulates callers that keep flows open and verify every byte
// of the replies.
package caller
