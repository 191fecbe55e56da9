// Package trace records a balancer's events as JSON lines and replays them.
package trace
