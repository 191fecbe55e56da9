// Package pacing limits the rate of responses to many receivers: a single update is sent without
// delay, and a burst of updates in batches.
package pacing
