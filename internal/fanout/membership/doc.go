// Package membership merges the lists of a zone's balancers that a balancer receives from the
// voters or balancers that it polls. A voter that has just started lists only the balancers that
// have polled it. Balancers that disappear from all lists are therefore kept for a while;
// otherwise each restart of the voters would rebuild the zone's tree. The package has no I/O and
// no clock, and must be used by one goroutine only.
package membership
