// Package requester simulates HTTP clients that send non-idempotent requests,
// retry them with the same idempotency key, and verify the reported outcomes.
package requester
