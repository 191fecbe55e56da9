// Package sample limits the reports of unanswered packets and responses that a balancer forwards
// for its followers. When many upstreams fail, every balancer reports each of them, but a voter
// needs only a few reports per upstream. With the limit, the number of reports that reach the
// voters does not depend on the number of balancers. The package does no I/O and reads no clock;
// it is not safe for concurrent use.
package sample
