// Package backlog keeps openings that wait a moment for room on a narrow link.
//
// The load pattern it answers: a link carries two uploads at once, each for some
// 0.3 s, and openings come at random. Turning each away that finds both busy made one
// in 60 uploads fail, refused at three balancers in a row, while a place would have
// been free a tenth of a second later. It has no I/O and no clock; one goroutine owns
// it.
package backlog
