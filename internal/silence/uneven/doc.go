// Package uneven finds the upstreams of a service that reject or fail a part of their requests while
// their health check passes.
//
// The load that it answers: a quarter of the upstreams rejects 45 % of its requests. One balancer of
// 33 gets an answer of an upstream every two to three seconds, too few to tell 45 % from chance.
// The counts of all balancers together are 12 answers a second, enough within a second or two.
//
// A rejection is a short answer: it has few bytes and comes early. Short answers of other causes are
// as frequent at all upstreams, so each upstream is compared with the others of its service by a
// sequential probability ratio test. The share of the others is at least 2 %, below which callers do
// not notice a difference, and the alternative lies 25 percentage points above: an upstream that
// rejects less than that costs a caller less than one retry in four requests.
//
// The package does no I/O and reads no clock; it is not safe for concurrent use.
package uneven
