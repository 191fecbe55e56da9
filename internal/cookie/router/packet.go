package router

import (
	"net/netip"
	"time"
)

// Packet is what the router needs to know of one packet from a caller.
type Packet struct {
	Caller  netip.AddrPort
	Address netip.AddrPort
	// Opening packets ask for a new flow; Copy counts their repetitions.
	Opening bool
	Copy    uint32
	Finish  bool
	Reset   bool
	// Cookie is what the caller returns of what it was last sent, 0 for none.
	Cookie uint32
	// Sequence, Acknowledged and Length are those of the transport in the packet.
	Sequence     uint32
	Acknowledged uint32
	Length       int
	// Waited is how long an opening waited at this VM until it was decided on.
	Waited time.Duration
}

// rejectWithin is the age up to which an opening may be rejected. Callers repeat one after
// 200 ms, and the copy may open the flow through another balancer; the rest is for the way here.
const rejectWithin = 160 * time.Millisecond

// Rejectable says that no copy of an opening can have opened its flow yet. A reset would end
// that flow otherwise; without one the caller gives the opening up by itself.
func (p Packet) Rejectable() bool { return p.Copy == 0 && p.Waited < rejectWithin }

// Flow names a flow by its two ends.
type Flow struct{ Caller, Address netip.AddrPort }

// Flow returns the flow that the packet belongs to.
func (p Packet) Flow() Flow { return Flow{p.Caller, p.Address} }

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	// Drop leaves the caller to repeat the packet.
	Drop Action = iota
	// Forward sends it to the verdict's target.
	Forward
	// Reset tells the caller at once that the flow cannot be.
	Reset
)

var actionNames = [...]string{"Drop", "Forward", "Reset"}

// String returns the action's name as it stands in logs.
func (a Action) String() string { return actionNames[a] }

// Reason says why a packet was not simply forwarded.
type Reason uint8

// The reasons.
const (
	// Known flows go to the upstream of their cookie.
	Known Reason = iota
	// Placed openings went to a chosen upstream.
	Placed
	// Repeated openings went to the upstream chosen before.
	Repeated
	// Unconfigured routers have no configuration yet.
	Unconfigured
	// NoRoute means that no route has the address.
	NoRoute
	// NoUpstream means that the route's service has no upstream.
	NoUpstream
	// UnknownCookie names no upstream that is known here.
	UnknownCookie
	// Ended upstreams are certainly gone.
	Ended
	// Busy links let no further upload in.
	Busy
	// Waiting openings are kept until such a link has room.
	Waiting
	// Overloaded services answer later than the callers of a new flow accept.
	Overloaded
	// Unresponsive upstreams leave the packets of all balancers unanswered.
	Unresponsive
	// Evacuated services have upstreams only in availability zones that are evacuated.
	Evacuated
	// Cold services have upstreams only that have just started and bear no more.
	Cold
	// Stray packets belong to no flow and ask for none.
	Stray
)

var reasonNames = [...]string{
	"Known", "Placed", "Repeated", "Unconfigured", "NoRoute", "NoUpstream", "UnknownCookie", "Ended", "Busy", "Waiting", "Overloaded", "Unresponsive", "Evacuated", "Cold", "Stray",
}

// Early says that a packet that is dropped for the reason may be placed soon,
// when more is known here.
func (r Reason) Early() bool {
	return r == Unconfigured || r == UnknownCookie || r == NoUpstream || r == Cold
}

// String returns the reason's name as it stands in logs.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the router's decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// To, Incarnation and Cookie tell where a forwarded packet goes and what
	// the ends are to return; Incarnation also names an upstream that ended.
	To          netip.AddrPort
	Incarnation uint64
	Cookie      uint32
	// Revision, Sequence and Live are what the decision rests on: the
	// configuration, the upstream's last announcement, and whether a voter heard
	// it lately.
	Revision uint64
	Sequence uint64
	Live     bool
	// Predicted and UnderWay are why a service counts as overloaded: the response
	// time that a request would have, and the requests that wait for an answer.
	Predicted time.Duration
	UnderWay  int
	// Limit is how many may wait, where that is why.
	Limit int
}
