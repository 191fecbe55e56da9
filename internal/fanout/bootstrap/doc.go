// Package bootstrap decides which voter a balancer polls first after its start, and when it polls
// other voters. After a power loss all voters and balancers start together. A response with all
// upstreams takes a third of a millisecond at a voter and some ten milliseconds on a narrow link,
// so a balancer must request only one such response. Which voter recovers first is unknown, so
// the balancer opens connections to all voters at once.
//
// The package has no I/O and no clock. A Sequencer is not safe for concurrent use.
package bootstrap
