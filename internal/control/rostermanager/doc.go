// Package rostermanager determines, at the leader of the voters, which balancers store
// idempotency keys.
package rostermanager
