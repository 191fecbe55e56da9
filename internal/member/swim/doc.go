// Package swim maintains the members of a group of balancers with the SWIM protocol (Das, Gupta,
// Motivala, 2002). Its cost per balancer does not grow with the group. Every other tick probes one
// member, directly and then through others. A member that does not respond is suspected, may refute
// the suspicion, and is declared dead after a timeout. Updates are piggybacked on probes.
package swim
