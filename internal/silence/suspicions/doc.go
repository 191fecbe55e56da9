// Package suspicions merges the suspicions that several voters report to a balancer: the
// upstreams and zones that leave packets unanswered.
package suspicions
