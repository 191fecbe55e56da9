// Package memory serves a balancer's idempotency keys over RPC, calls the key stores of
// other balancers, and copies records when the roster changes.
package memory
