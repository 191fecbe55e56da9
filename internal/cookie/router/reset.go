package router

import "time"

// FlowReset is a decision to reset a flow that may be open, with its evidence.
type FlowReset struct {
	Flow   Flow
	Reason Reason
	// Incarnation, Born (the start time) and Live describe the upstream, as last received from
	// the voters.
	Incarnation, Born uint64
	Live              bool
	// Opened is when this balancer placed the flow, zero if another balancer did or the
	// flow is no longer stored.
	Opened time.Time
	// Handshake is set if this balancer saw the end of the handshake or a later packet.
	Handshake bool
	// Evidence is the time of the first unanswered packet, or when this balancer
	// first observed that the upstream has terminated.
	Evidence time.Time
	// Voter is the voter that confirmed the upstream as unresponsive, empty if Reason is not
	// Unresponsive.
	Voter string
}

// resetFlow returns the verdict that resets a flow, calls the Reset hook and removes the
// stored flow, which may be nil.
func (r *Router) resetFlow(k Flow, f *flow, t *target, reason Reason) Verdict {
	x := FlowReset{Flow: k, Reason: reason, Incarnation: t.Incarnation, Born: t.Born, Live: t.Live, Handshake: true, Evidence: t.endObserved}
	if reason == Unresponsive {
		s := t.unresponsiveSuspicion()
		x.Evidence, x.Voter = s.First, s.Voter
	}
	if f != nil {
		x.Opened, x.Handshake = f.opened, !f.opening
		r.removeFlow(k, f)
	}
	if r.settings.Reset != nil {
		r.settings.Reset(x)
	}
	return r.resetVerdict(t, reason)
}
