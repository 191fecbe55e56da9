// Package admission rejects new flows of an overloaded service. When callers send more requests
// than the upstreams can process, every upstream has a full queue. Nearly all responses then miss
// their latency objective, although the upstreams work at full speed. Rejecting the excess when
// flows are opened keeps the queues short: admitted requests are in time, and rejected callers know
// at once and may retry.
//
// The package does no I/O and reads no clock; its types are not safe for concurrent use.
package admission
