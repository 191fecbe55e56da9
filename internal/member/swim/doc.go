// Package swim maintains the members of a group of balancers with the SWIM protocol (Das, Gupta,
// Motivala, 2002). The cost per balancer does not grow with the group. At every second tick, one
// member is probed, first directly and then through other members. A member that does not respond
// is suspected, may refute the suspicion, and is declared dead after a timeout. Updates are
// piggybacked on probes.
package swim
