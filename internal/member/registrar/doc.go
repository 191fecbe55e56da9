// Package registrar registers a balancer with the leader of the voters as a store of
// idempotency keys.
package registrar
