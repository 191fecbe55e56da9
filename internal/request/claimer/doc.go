// Package claimer obtains the exclusive right to send a request with an idempotency key
// from a majority of the balancers that store the key.
package claimer
