// Package pacing limits the rate of responses to many receivers: a burst of updates is sent in
// batches, and a single update without delay.
package pacing
