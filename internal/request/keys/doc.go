// Package keys stores the idempotency keys of requests at one balancer.
//
// A record is created before a request is sent. Only the attempt that created the record may
// release (delete) it, and only if the request did not run.
package keys
