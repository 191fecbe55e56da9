// Package evidence defines the messages that balancers and voters exchange about upstreams that
// leave packets unanswered.
package evidence
