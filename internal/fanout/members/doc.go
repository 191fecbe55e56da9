// Package members keeps the balancers of the fleet as soft state that expires without refresh.
// Each balancer reports all its direct and indirect followers to its parent or to the voters,
// with the time since each follower's last refresh. A voter thus knows a fleet of thousands
// although only a few balancers poll it. The package has no I/O and no clock, and must be used by
// one goroutine only.
package members
