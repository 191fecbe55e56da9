// Package snapshot holds the load of all availability zones as known at one balancer.
package snapshot
