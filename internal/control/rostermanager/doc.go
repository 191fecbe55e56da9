// Package rostermanager decides, at the leading voter, which balancers store idempotency
// keys.
package rostermanager
