package router

import "time"

const (
	// abandonedAfter is the age from which an opening counts as refused if the caller has
	// neither completed nor retransmitted it: callers retransmit after 200 ms unless they
	// are reset.
	abandonedAfter = 250 * time.Millisecond
	// zoneRefusalPeriod is how long a zone gets no new flows after all its upstreams
	// refused. An answer, or the start of an upstream there, ends it early. zoneTrialPeriod
	// is how long further flows then wait for the outcome of the first one.
	zoneRefusalPeriod = 2 * time.Second
	zoneTrialPeriod   = abandonedAfter + 100*time.Millisecond
)

// refusals counts recent abandoned openings of one zone. An upstream whose process has
// ended resets callers directly, so the balancer sees only that the handshake is not
// completed.
type refusals struct {
	// opened counts the openings that have reached the age abandonedAfter, abandoned those of
	// them that were abandoned.
	opened, abandoned float64
	// until is when the zone may be tried again, zero if it is not suspected.
	until time.Time
}

// suspected reports whether the zone refused all new flows and has not answered since.
func (x *refusals) suspected() bool { return !x.until.IsZero() }

// startTrial lets one flow test whether the zone still refuses, once the period has passed.
func (x *refusals) startTrial(now time.Time) {
	if x.suspected() && !now.Before(x.until) {
		x.until = now.Add(zoneTrialPeriod)
	}
}

func (x *refusals) decay() {
	x.opened *= recentDecay
	x.abandoned *= recentDecay
}

// mostAbandoned reports whether at least half of the openings were abandoned.
func (x *refusals) mostAbandoned() bool { return x.opened >= minSample && 2*x.abandoned >= x.opened }

// detectAbandoned checks the openings that have reached abandonedAfter, and suspects the
// upstreams that refused some.
func (r *Router) detectAbandoned(now time.Time) {
	abandoned := r.abandoned[:0]
	for _, s := range r.services {
		s.refusalChecks.expire(now, abandonedAfter, func(p pendingAnswer) {
			x := &p.target.zone.refusals
			x.opened++
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

// suspectRefused suspects the upstream of a refused opening, or its whole zone if most
// openings there are abandoned and none was answered since. Callers that lost connectivity,
// or that never complete handshakes, look the same: if openings to another zone are
// abandoned, too, no upstream is suspected.
func (r *Router) suspectRefused(now time.Time, p pendingAnswer) {
	z := p.target.zone
	answering := z.lastAlive.After(p.sent)
	switch x := &z.refusals; {
	case answering || !x.mostAbandoned() && !x.suspected():
		r.suspectLocally(now, p.flow)
	case r.abandonedElsewhere(z):
		x.until = time.Time{}
	default:
		if !x.suspected() && r.settings.ZoneRefused != nil {
			r.settings.ZoneRefused(p.target.Zone)
		}
		x.until = now.Add(zoneRefusalPeriod)
	}
}

// abandonedElsewhere reports whether most openings to another zone are abandoned, or there
// is no other zone.
func (r *Router) abandonedElsewhere(z *zone) bool {
	others := false
	for _, other := range r.zones {
		if other != z && other.refusals.mostAbandoned() {
			return true
		}
		others = others || other != z
	}
	return !others
}
