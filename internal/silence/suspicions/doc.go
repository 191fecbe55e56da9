// Package suspicions merges at a balancer the suspicions that several voters report.
package suspicions
