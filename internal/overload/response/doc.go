// Package response follows how fast one upstream answers beside the others of
// its service.
//
// The load pattern it answers: some upstreams work several times slower than the
// rest, after their start or beside a noisy neighbour. Counts of requests under
// way hardly show it while there are few: an idle slow upstream looks as good as
// an idle fast one. It has no I/O and no clock; one goroutine owns it.
package response
