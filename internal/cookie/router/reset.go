package router

import "time"

// FlowReset is a decision to reset a flow that may be open, with what it rests on.
type FlowReset struct {
	Flow   Flow
	Reason Reason
	// Incarnation, Born and Live are the upstream's, as the voters last told of it.
	Incarnation, Born uint64
	Live              bool
	// Opened is when this balancer placed the flow, zero where another one did or it is
	// forgotten here.
	Opened time.Time
	// Handshake says that this balancer saw the end of the handshake, or a later packet.
	Handshake bool
	// Evidence is since when the upstream's end or silence is known: the time of the first
	// packet without an answer, or when this balancer heard of the end.
	Evidence time.Time
	// Voter is the one that found the upstream silent, empty for other reasons.
	Voter string
}

// ended returns the verdict that resets a flow of an upstream, and reports it. The record of
// the flow, nil where there is none, is forgotten.
func (r *Router) ended(k Flow, f *flow, t *target, why Reason) Verdict {
	x := FlowReset{Flow: k, Reason: why, Incarnation: t.Incarnation, Born: t.Born, Live: t.Live, Handshake: true, Evidence: t.endKnown}
	if why == Unresponsive {
		d := t.evidence()
		x.Evidence, x.Voter = d.First, d.Voter
	}
	if f != nil {
		x.Opened, x.Handshake = f.opened, !f.opening
		r.forget(k, f)
	}
	if r.settings.Reset != nil {
		r.settings.Reset(x)
	}
	return r.reset(t, why)
}
