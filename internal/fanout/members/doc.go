// Package members keeps the balancers of the fleet as soft state that expires without refresh. Each
// balancer reports all its direct and indirect followers, with the time since each one's last
// refresh, to its parent or to the voters. A voter thus knows a fleet of thousands although only a
// few balancers poll it. The package has no I/O and no clock, and must be used by one goroutine only.
package members
