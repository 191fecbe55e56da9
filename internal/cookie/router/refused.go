package router

import "time"

const (
	// abandonedAfter is the age from which an opening counts as abandoned if the caller has
	// neither completed nor retransmitted it: callers retransmit after 200 ms unless they
	// receive a reset.
	abandonedAfter = 250 * time.Millisecond
	// zoneRefusalPeriod is how long new flows avoid a zone after most openings there were
	// abandoned. An answer from the zone, or the start of an upstream there, ends it early.
	zoneRefusalPeriod = 2 * time.Second
	// zoneTrialPeriod is how long new flows still avoid the zone after one flow was sent there
	// as a trial: until the outcome of the trial is known.
	zoneTrialPeriod = abandonedAfter + 100*time.Millisecond
)

// refusals counts the recent abandoned openings of one zone, from which the router infers
// that upstreams refuse flows. The VM of an upstream whose process has ended resets callers
// directly, so the balancer sees only that the handshake is not completed.
type refusals struct {
	// checked is the decaying number of openings that have reached the age abandonedAfter;
	// abandoned is the number of these that were abandoned.
	checked, abandoned float64
	// avoidUntil is when a new flow may next try the zone. It is zero if the zone is not suspected.
	avoidUntil time.Time
}

// zoneSuspected reports whether the zone is suspected to refuse new flows. An answer from the zone
// clears the suspicion.
func (x *refusals) zoneSuspected() bool { return !x.avoidUntil.IsZero() }

// noteNewFlow records a new flow to the zone. If the zone is suspected and avoidUntil has passed,
// the flow is a trial, and further flows avoid the zone for zoneTrialPeriod.
func (x *refusals) noteNewFlow(now time.Time) {
	if x.zoneSuspected() && !now.Before(x.avoidUntil) {
		x.avoidUntil = now.Add(zoneTrialPeriod)
	}
}

func (x *refusals) decay() {
	x.checked *= recentDecay
	x.abandoned *= recentDecay
}

// mostAbandoned reports whether at least half of the checked openings were abandoned. It is false
// if fewer than minSample were checked.
func (x *refusals) mostAbandoned() bool { return x.checked >= minSample && 2*x.abandoned >= x.checked }

// detectAbandoned checks the openings that have reached the age abandonedAfter, and calls
// suspectRefused for each abandoned one. While the link is delayed, openings are not counted: their
// callers may have completed them in time.
func (r *Router) detectAbandoned(now time.Time) {
	abandoned := r.abandoned[:0]
	for _, s := range r.services {
		s.refusalChecks.expire(now, abandonedAfter, func(p pendingAnswer) {
			if r.linkDelayed {
				return
			}
			x := &p.target.zone.refusals
			x.checked++
			if p.stillPending() && !p.flow.retransmitted {
				x.abandoned++
				abandoned = append(abandoned, p)
			}
		})
	}
	for _, p := range abandoned {
		r.suspectRefused(now, p)
	}
	r.abandoned = abandoned
}

// suspectRefused handles an abandoned opening. By default, it suspects the opening's upstream. If
// the upstream's zone is suspected already or most openings there are abandoned, and no upstream
// there has answered since this opening was sent, it suspects the whole zone instead. In this case
// it suspects nothing if the callers may be at fault.
func (r *Router) suspectRefused(now time.Time, p pendingAnswer) {
	z := p.target.zone
	answering := z.lastAlive.After(p.sent)
	switch x := &z.refusals; {
	case answering || !x.mostAbandoned() && !x.zoneSuspected():
		r.suspectLocally(now, p.flow)
	case r.callersMayBeAtFault(z):
		x.avoidUntil = time.Time{}
	default:
		if !x.zoneSuspected() && r.settings.ZoneRefused != nil {
			r.settings.ZoneRefused(p.target.Zone)
		}
		x.avoidUntil = now.Add(zoneRefusalPeriod)
	}
}

// callersMayBeAtFault reports whether abandoned openings to a zone may be due to callers that
// lost connectivity or never complete handshakes, such as SYN scans. Such callers abandon
// openings to all zones, so the result is true if most openings to another zone are abandoned,
// too. It is also true if there is no other zone to compare with.
func (r *Router) callersMayBeAtFault(z *zone) bool {
	others := false
	for _, other := range r.zones {
		if other != z && other.refusals.mostAbandoned() {
			return true
		}
		others = others || other != z
	}
	return !others
}
