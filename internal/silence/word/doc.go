// Package word holds what balancers and voters tell each other of upstreams that leave
// packets unanswered.
package word
