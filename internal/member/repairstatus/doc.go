// Package repairstatus tracks which other balancers still create missing replicas of flows.
package repairstatus
