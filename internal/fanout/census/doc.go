// Package census joins the lists of a zone's balancers that a balancer is given by those
// that it follows.
//
// A list may be short for a moment: a voter that has just started knows only who has
// asked it. Whoever is missing from it stays for a while, or the zone would arrange itself
// anew with each restart of the voters.
//
// It has no I/O and no clock; one goroutine owns it.
package census
