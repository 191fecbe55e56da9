// Package suspicions merges the suspicions of several voters at a balancer: the upstreams and
// zones that leave packets unanswered.
package suspicions
