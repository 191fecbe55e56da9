package router

import (
	"net/netip"
	"time"
)

// Packet holds the fields of a caller's packet that routing depends on.
type Packet struct {
	Caller netip.AddrPort
	// Address is the address of the route, to which the caller sends.
	Address netip.AddrPort
	// Opening is set if the packet requests a new flow; Copy is then how often the caller has
	// sent it before.
	Opening bool
	Copy    uint32
	// Finish and Reset are set if the packet ends the flow (FIN, RST).
	Finish bool
	Reset  bool
	// Cookie is the cookie that the caller echoes, 0 for none.
	Cookie uint32
	// Sequence, Acknowledged and Length are the transport's sequence number, acknowledgment
	// number and payload length.
	Sequence     uint32
	Acknowledged uint32
	Length       int
	// Waited is how long an opening waited on this VM before it was processed.
	Waited time.Duration
}

// rejectableFor is the age up to which an opening may be rejected. Callers retransmit after 200 ms,
// and the retransmission may open the flow through another balancer. The difference of 40 ms allows
// for the reset's transit time.
const rejectableFor = 160 * time.Millisecond

// Rejectable reports whether an opening may be answered by a reset, because no other
// transmission of it can have opened the flow yet. Otherwise the reset might abort an open
// flow; the opening is dropped instead, and the caller's attempt times out.
func (p Packet) Rejectable() bool { return p.Copy == 0 && p.Waited < rejectableFor }

// Flow identifies a flow by its caller and the address of its route, to which the caller sends.
type Flow struct{ Caller, Address netip.AddrPort }

// Flow returns the flow of the packet.
func (p Packet) Flow() Flow { return Flow{p.Caller, p.Address} }

// Action is what to do with a packet.
type Action uint8

const (
	// Drop discards the packet, which the caller retransmits. For a temporary reason the
	// balancer may buffer it.
	Drop Action = iota
	// Forward sends the packet to the verdict's upstream.
	Forward
	// Reset resets the caller's flow.
	Reset
)

var actionNames = [...]string{"Drop", "Forward", "Reset"}

// String returns the action's name as used in logs.
func (a Action) String() string { return actionNames[a] }

// Reason explains a verdict.
type Reason uint8

const (
	// Known is the reason for a packet of an open flow, forwarded by its cookie.
	Known Reason = iota
	// Placed is the reason for an opening forwarded to a newly chosen upstream.
	Placed
	// Repeated is the reason for a retransmitted opening, forwarded to the upstream chosen
	// before.
	Repeated
	// Unconfigured means that the router has no configuration yet.
	Unconfigured
	// NoRoute means that no route has the address.
	NoRoute
	// NoUpstream means that the route's service has no upstream for new flows.
	NoUpstream
	// UnknownCookie means that the cookie matches no known upstream.
	UnknownCookie
	// Ended means that the upstream has terminated.
	Ended
	// Busy means that the VM's link has no capacity for another upload, or for another flow.
	Busy
	// Waiting means that the opening is buffered until the link has capacity for another
	// upload.
	Waiting
	// Overloaded means that the service's predicted response time is too long for the route's
	// objective, or that the service has reached its concurrency limit or its limit of use.
	Overloaded
	// Unresponsive means that the voters confirmed their suspicion of the upstream or its zone.
	Unresponsive
	// Evacuated means that all ready upstreams of the service are in evacuated availability
	// zones.
	Evacuated
	// Cold means that all upstreams of the service that could get the flow are cold, and that
	// each is at its cold rate limit or assigned to another balancer.
	Cold
	// AmbiguousCookie means that several upstreams have the cookie, that it is not known which of them it
	// stands for, and that the packet's flow is not stored.
	AmbiguousCookie
	// NewUpstream means that the cookie's upstream is not established yet, and that the packet's flow is
	// not stored; or that this balancer has just started and that all upstreams for a new flow are new.
	NewUpstream
	// Stray means that the packet neither belongs to a flow nor opens one.
	Stray
)

var reasonNames = [...]string{
	"Known", "Placed", "Repeated", "Unconfigured", "NoRoute", "NoUpstream", "UnknownCookie", "Ended", "Busy", "Waiting", "Overloaded", "Unresponsive", "Evacuated", "Cold", "AmbiguousCookie", "NewUpstream", "Stray",
}

// Temporary reports whether a packet that is dropped, and not reset, for this reason may be placed
// soon, once more state is known.
func (r Reason) Temporary() bool {
	return r == Unconfigured || r == UnknownCookie || r == NoUpstream || r == Cold || r == AmbiguousCookie || r == NewUpstream
}

// String returns the reason's name as used in logs.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the router's decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// To is the address of the upstream to which the packet is forwarded.
	To netip.AddrPort
	// Incarnation identifies the upstream of a forwarded packet. It is also set if the flow is
	// reset because of its upstream's state, or if its upstream has terminated.
	Incarnation uint64
	// Cookie is the cookie of a forwarded packet's upstream, which both ends of the flow echo.
	Cookie uint32
	// Revision, Sequence and Live are the inputs of the decision: the revision of the
	// configuration, the sequence of the upstream's latest announcement, and whether a voter
	// received an announcement recently.
	Revision uint64
	Sequence uint64
	Live     bool
	// OpenedHere is set for a packet of a known flow that this balancer placed within
	// openedHerePeriod. Retransmitted is set if the packet repeats data that passed this balancer
	// before.
	OpenedHere, Retransmitted bool
	// Predicted and UnderWay explain an overload: the predicted response time of a request,
	// and the number of the service's pending openings and requests that are not overdue.
	Predicted time.Duration
	UnderWay  int
	// Limit is the concurrency limit that UnderWay has reached, 0 if the flow is not rejected for
	// this limit.
	Limit int
	// Use is the service's occupied slots per slot, and SlotLimit the use from which all flows like
	// this one are rejected. Both are 0 if the flow is not rejected by the load of all zones.
	Use, SlotLimit float64
	// LoadVersion and LoadAge identify the view of the load of all zones that decided, 0 if none
	// did.
	LoadVersion uint64
	LoadAge     time.Duration
	// LinkDelay is the queueing delay of the VM's link for which an opening is rejected, 0 if it is
	// not rejected for it.
	LinkDelay time.Duration
	// Zone is the other zone to which the load of all zones sends a new flow, empty if the flow was
	// not placed by it.
	Zone string
}
