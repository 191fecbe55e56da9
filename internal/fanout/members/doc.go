// Package members keeps the balancers of the fleet as soft state that expires without refresh.
//
// Each process reports all its direct and indirect followers to those that it follows, with the
// time since each last refresh. A voter thus knows a fleet of thousands although only a few
// balancers poll it.
//
// The package has no I/O and no clock, and must be used by one goroutine only.
package members
