// Package uplink shares the narrow link of an entry VM between callers' uploads
// and all other traffic.
//
// Callers send an upload in windows of packets, and retransmit packets that are not
// acknowledged within 0.2 s. On a link of 2 Mbit/s, three concurrent uploads exceed that
// time in the link's own queue; the retransmissions then fill the link, and short requests
// are delayed by hundreds of milliseconds. So the package admits few uploads at once, and
// new ones beyond that go to another balancer. It paces the packets of admitted uploads,
// so that they are queued here, where short requests can overtake them.
package uplink
