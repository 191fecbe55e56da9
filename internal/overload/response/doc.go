// Package response compares the response time of each upstream with that of the other upstreams of
// its service: some are several times slower, after a start or because of a noisy neighbour. At low
// load the number of requests in flight does not show the difference: an idle slow upstream looks
// like an idle fast one. The package does no I/O and reads no clock; its types are not safe for
// concurrent use.
package response
