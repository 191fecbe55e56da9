package router

import (
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/mechanism"
)

const (
	// coldAfterEvacuation is how long the upstreams of a zone count as cold after its
	// evacuation is revoked. They may have become cold shortly before, which only their next
	// announcement reports; announcements are sent every 1.2 s, and one may be lost.
	coldAfterEvacuation = 3 * time.Second
	// warmWaitMax is the longest time that an upstream may remain cold while openings are
	// buffered for it: buffered packets are dropped after a second.
	warmWaitMax = time.Second
)

// SetPeers sets the addresses of the balancers in this balancer's zone, including its own.
func (r *Router) SetPeers(now time.Time, addresses []string) { r.assignment.Set(now, addresses) }

// coldUntil returns the time from which an upstream is warm, and false if its service sets
// no cold rate.
func (t *target) coldUntil() (time.Time, bool) {
	if t.service.coldRate == 0 {
		return time.Time{}, false
	}
	until := t.ColdUntil
	if afterEvacuation := t.zone.evacuationRevoked.Add(coldAfterEvacuation); afterEvacuation.After(until) {
		until = afterEvacuation
	}
	return until, true
}

// withinColdLimit reports whether this balancer may send another flow to an upstream: always if the
// upstream is warm, otherwise within its cold rate. Each cold upstream is assigned to one balancer
// of its own zone, since no balancer knows what the others send. Without the assignment, 70
// balancers sent one upstream 17 flows in a second at a limit of 6. If the rate were divided among
// all, each balancer could send one flow in twelve seconds; no upstream stays cold for that long.
func (r *Router) withinColdLimit(now time.Time, t *target) bool {
	if t.service.coldRate == 0 || !r.coldRateApplies(now, t) {
		return true
	}
	return t.Zone == r.settings.Zone && t.coldWindow.Allows(now, t.service.coldRate) && r.assignment.Owns(now, t.Incarnation)
}

// mayPlaceAt reports whether this balancer may send another flow to an upstream.
func (r *Router) mayPlaceAt(now time.Time, t *target) bool {
	return !r.cookieMayBeInUse(now, t) && r.withinColdLimit(now, t)
}

// cookieMayBeInUse reports whether an older upstream that this balancer does not know yet may have a cookie of a
// new upstream: while the balancer starts, it may not have received all upstreams.
func (r *Router) cookieMayBeInUse(now time.Time, t *target) bool {
	return r.starting(now) && !t.cookies.Established(now)
}

// coldRateApplies reports whether an upstream is cold and its service sets a cold rate.
func (r *Router) coldRateApplies(now time.Time, t *target) bool {
	until, bounded := t.coldUntil()
	return bounded && now.Before(until) && !r.settings.Off.Has(mechanism.SlowStart)
}

// takeColdToken counts a new flow against the rate limit of a cold upstream.
func (t *target) takeColdToken(now time.Time) {
	if until, bounded := t.coldUntil(); bounded && now.Before(until) {
		t.coldWindow.Take(now, t.service.coldRate)
	}
}

// anyLimited reports whether a service has ready upstreams that get no flow now because of
// mayPlaceAt.
func (r *Router) anyLimited(now time.Time, service string) bool {
	p := r.pools[service]
	limited := func(t *target) bool { return !r.mayPlaceAt(now, t) }
	return p != nil && (lo.SomeBy(p.local(), limited) || lo.SomeBy(p.remote(), limited))
}

// rejectLimited returns the verdict on a new flow if no upstream is available and some get no flow because of
// mayPlaceAt. If one will be warm within warmWaitMax, or only its cookie may be in use, the opening is dropped for a
// temporary reason, so that the balancer buffers it. Otherwise the opening is reset, and the caller's retry may reach
// the balancer that a cold upstream is assigned to.
func (r *Router) rejectLimited(now time.Time, service string) Verdict {
	v := Verdict{Action: Reset, Reason: Cold, Revision: r.revision}
	p := r.pools[service]
	for _, all := range [][]*target{p.local(), p.remote()} {
		for _, t := range all {
			if r.cookieMayBeInUse(now, t) {
				return Verdict{Action: Drop, Reason: NewUpstream, Revision: r.revision}
			}
			if until, _ := t.coldUntil(); until.Sub(now) < warmWaitMax {
				v.Action = Drop
			}
		}
	}
	return v
}
