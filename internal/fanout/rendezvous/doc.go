// Package rendezvous implements rendezvous hashing (highest random weight): a node that joins or
// leaves moves only its own keys.
package rendezvous
