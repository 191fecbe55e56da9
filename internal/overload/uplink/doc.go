// Package uplink shares the narrow link of an entry VM between callers' uploads and all other
// traffic.
//
// Callers send an upload in windows of packets, and retransmit what is not acknowledged within 0.2
// s. On a link of 2 Mbit/s, three concurrent uploads exceed that time in the link's own queue;
// their retransmissions then delay short requests by hundreds of milliseconds. So the package
// admits few uploads; further uploads go to other balancers. It paces the admitted packets, so that
// they are queued here, where short requests can overtake them.
package uplink
