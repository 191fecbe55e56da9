// Package ledger is the state machine of the replicated log: it applies committed
// commands to the configuration and stores one answer for each change key.
package ledger
