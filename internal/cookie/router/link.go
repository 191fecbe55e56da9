package router

import (
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/model/configuration"
)

// SetLinkDelayed sets whether the VM's link delays packets so much that missing answers say nothing
// about upstreams. While it does, the router suspects neither upstreams nor zones because of them, and
// reports none to the voters. It still reports answers, which refute suspicions.
func (r *Router) SetLinkDelayed(delayed bool) { r.linkDelayed = delayed }

// Settled reports whether settlePeriod is over, or disabled.
func (r *Router) Settled(now time.Time) bool {
	return now.Sub(r.targetsKnownAt) >= settlePeriod || r.settings.Off.Has(mechanism.Settling)
}

// LinkDelay returns the least queueing delay of the VM's link that recent handshakes show, and false if
// there is no recent handshake.
func (r *Router) LinkDelay(now time.Time) (time.Duration, bool) {
	recent, known := r.recentHandshakes.Shortest(now)
	if !known {
		return 0, false
	}
	base, known := r.handshakes.Shortest(now)
	return max(recent-base, 0), known
}

// BaseHandshake returns the duration of the shortest handshake of the last 10 s, and false if there is
// none.
func (r *Router) BaseHandshake(now time.Time) (time.Duration, bool) {
	return r.handshakes.Shortest(now)
}

// LatestCompleted returns when the latest of the flows whose handshake has completed was placed, zero if
// there is none.
func (r *Router) LatestCompleted() time.Time { return r.latestCompleted }

// NewFlow is a flow that an opening requests.
type NewFlow struct {
	Class configuration.Class
	// Urgent flows are rejected last.
	Urgent bool
}

// NewFlow returns the flow that an opening requests. The result is false if the opening's flow is
// stored or no route has its address.
func (r *Router) NewFlow(now time.Time, p Packet) (NewFlow, bool) {
	configured, ok := r.routes[p.Address]
	if !ok || r.flows[p.Flow()] != nil {
		return NewFlow{}, false
	}
	s := r.service(pickBackend(configured.backends, p.Flow().callerHash()))
	return NewFlow{Class: configured.Class, Urgent: s.urgency.Urgent(now, configured.Priority)}, true
}

// RecordRejected records the demand of an opening that was rejected before Route, and the rejection.
// Without it, the measured demand would consist of the admitted tiers only.
func (r *Router) RecordRejected(now time.Time, p Packet) {
	if configured, ok := r.routes[p.Address]; ok {
		s := r.service(pickBackend(configured.backends, p.Flow().callerHash()))
		s.urgency.Record(now, configured.Priority)
		s.load.noteTier(s.urgency.Urgent(now, configured.Priority))
		s.load.noteRejected()
	}
}
