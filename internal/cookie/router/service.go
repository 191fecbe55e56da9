package router

import (
	"slices"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/overload/admission"
	"wasabideal/internal/overload/concurrency"
	"wasabideal/internal/overload/response"
	"wasabideal/internal/overload/urgency"
	"wasabideal/internal/overload/zoneadmission"
)

// service is the state shared by the upstreams of one service.
type service struct {
	// requestAdmission and uploadAdmission track response times separately. An upload takes
	// as long as the transit of its body: counted together, uploads would cause the rejection
	// of short requests while the upstreams are idle.
	requestAdmission, uploadAdmission admission.Admission
	// inFlight counts pending openings and requests.
	inFlight int
	// coldRate is the number of requests per second that a cold upstream may get, 0 for no
	// limit.
	coldRate float64
	// overdue counts the pending openings and requests whose answer is late or whose upstream
	// was suspected when they were sent.
	overdue int
	// openings and requests hold the pending answers until they are overdue. refusalChecks
	// holds the pending answers to openings until the age abandonedAfter.
	openings, requests, refusalChecks pendingQueue
	// concurrency tracks the recent average of effectiveInFlight.
	concurrency concurrency.InFlightAverage
	// urgency determines which priorities are the most urgent among recent flows.
	urgency urgency.Urgency
	// zoneUse is the load by callers of all zones.
	zoneUse zoneUse
	// medianResponseTime is the median over the upstreams, 0 if unknown.
	medianResponseTime time.Duration
	// active are the upstreams with recent packets. Only these are processed ten times a
	// second, a few of the thousands that a service may have.
	active []*target
	// responses is a buffer that compareResponseTimes reuses.
	responses []*response.Tracker
	load      serviceLoad
	answers   serviceAnswers
}

// noteSent counts a packet that awaits an answer of the upstream.
func (t *target) noteSent() {
	t.recent.sent++
	t.activate()
}

// activate adds the upstream to the active ones of its service.
func (t *target) activate() {
	if !t.active {
		t.active = true
		t.service.active = append(t.service.active, t)
	}
}

// compareResponseTimes finds the upstreams that are slower than others, and removes
// upstreams without recent packets and answers from the active ones.
func (s *service) compareResponseTimes(now time.Time) {
	s.responses = s.responses[:0]
	for _, t := range s.active {
		s.responses = append(s.responses, &t.response)
	}
	s.medianResponseTime = response.UpdateSlowness(now, s.responses)
	s.active = slices.DeleteFunc(s.active, func(t *target) bool {
		_, answers := t.response.Mean(now)
		t.active = answers || t.recent.sent > recentMin || t.recent.unanswered > recentMin
		if !t.active {
			t.recent = packetCounts{}
		}
		return !t.active
	})
}

// service returns the service with the name, creating it if necessary.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// admission returns the admission control that applies to requests of a class.
func (s *service) admission(c configuration.Class) *admission.Admission {
	if c == configuration.Upload {
		return &s.uploadAdmission
	}
	return &s.requestAdmission
}

// effectiveInFlight returns the number of pending openings and requests that are not overdue.
func (s *service) effectiveInFlight() int { return s.inFlight - s.overdue }

// addPending adds to the pending openings and requests of the flow's upstream and its service.
func (f *flow) addPending(openings, requests int) {
	t := f.target
	t.openings += openings
	t.requests += requests
	t.service.inFlight += openings + requests
	f.addOccupied(requests)
}

// checkAdmission reports whether a new flow is rejected because the service is overloaded, and
// returns the verdict if so. The hash is that of the flow's caller.
func (r *Router) checkAdmission(now time.Time, name string, route configuration.Route, hash uint64) (Verdict, bool) {
	s := r.service(name)
	s.urgency.Record(now, route.Priority)
	urgent := s.urgency.Urgent(now, route.Priority)
	s.load.noteTier(urgent)
	// The average of the concurrency limit is kept up to date for the time without a fresh view.
	limit, reached := r.concurrencyReached(now, name, s, route.Class, urgent)
	if r.updateZoneUse(now, name, s) {
		d := s.decideByUse(now, route.Class, route.Objective, hash, urgent)
		if d.Use < zoneadmission.Idle {
			return Verdict{}, false
		}
		// If only the growth of this balancer's requests exceeds Idle, the growth may be its own: its limit
		// must be reached, too.
		counts := s.zoneUse.load.Measured() >= zoneadmission.Idle || reached
		// An upload occupies a slot for a small part of its time: only its response time counts.
		if !d.Admitted && counts && route.Class != configuration.Upload {
			return r.useVerdict(now, s, d), true
		}
	} else if reached {
		return Verdict{Action: Reset, Reason: Overloaded, Revision: r.revision, UnderWay: s.effectiveInFlight(), Limit: limit}, true
	}
	if r.settings.Off.Has(mechanism.Admission) {
		return Verdict{}, false
	}
	control := s.admission(route.Class)
	predicted := control.ResponseTime(now, s.effectiveInFlight())
	newFlow := admission.Flow{
		Objective: route.Objective, Urgent: urgent, Number: hash >> 32,
	}
	if !control.Overloaded(now, predicted, route.Objective) || newFlow.Admitted(predicted) {
		return Verdict{}, false
	}
	return Verdict{
		Action: Reset, Reason: Overloaded, Revision: r.revision, Predicted: predicted, UnderWay: s.effectiveInFlight(),
	}, true
}

// concurrencyReached reports whether this balancer has used up its share of the service's
// concurrency, and returns its limit.
func (r *Router) concurrencyReached(now time.Time, name string, s *service, class configuration.Class, urgent bool) (int, bool) {
	p := r.pools[name]
	if p == nil || class == configuration.Upload || r.settings.Off.Has(mechanism.Concurrency) {
		return 0, false
	}
	shared := concurrency.SharedSlots{Slots: p.slots, Balancers: r.balancers}
	limit, known := shared.Limit(urgent)
	s.markOverdue(now)
	return limit, s.concurrency.Update(now, s.effectiveInFlight(), limit) && known
}

// SetBalancers sets how many balancers share the upstreams, 0 if unknown.
func (r *Router) SetBalancers(n int) { r.balancers = n }

// recordResponseTime records the response time of a request. For admission, the time is divided
// by the upstream's slowness, since a slow upstream does not indicate how much capacity the
// others have.
func (r *Router) recordResponseTime(now time.Time, f *flow, class configuration.Class) {
	t, took := f.target, now.Sub(f.sent)
	t.response.Record(now, took)
	t.service.admission(class).Record(now, time.Duration(float64(took)/t.response.Slowness()), f.inFlightAtSend)
	notify(r.settings.Answered, took)
}
