// Package registrar registers a balancer as a store of request keys with the leader of
// the voters.
package registrar
