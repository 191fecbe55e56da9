// Package chunk limits how much voter state goes into one response to a follower.
//
// A follower that has just started lacks all upstreams of the fleet. A response with all of them
// would exceed the timeout of the poll, and the follower would request the same again.
package chunk
