package feed

import (
	"context"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/verdicts"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/wire/rpc"
)

// ReportMethod is the RPC by which balancers report packets that upstreams left unanswered. Balancers
// and voters also send liveness reports by it.
const ReportMethod = "Feed.Report"

// ReportsMethod is the RPC by which a balancer forwards the reports of several balancers.
const ReportsMethod = "Feed.Reports"

// suspicionsIntervalPerBalancer, times the number of polling balancers, is the minimum time between
// two rounds of responses with suspicions. All balancers together thus get at most 500 responses a
// second; with 44 balancers, the interval is 88 ms.
const suspicionsIntervalPerBalancer = 2 * time.Millisecond

// pollExpiry is how long after its last poll a balancer counts as active. It exceeds the time for
// which a voter holds a poll.
const pollExpiry = 2 * time.Second

type empty struct{}

func (f *Feed) serveReports(r *rpc.Server, token string) {
	rpc.Handle(r, ReportMethod, token, func(_ context.Context, report evidence.Report) (empty, error) {
		f.Report(f.clock(), report)
		return empty{}, nil
	})
	rpc.Handle(r, ReportsMethod, token, func(_ context.Context, reports []evidence.Report) (empty, error) {
		now := f.clock()
		for _, report := range reports {
			f.Report(now, report)
		}
		return empty{}, nil
	})
}

// Report records the observations of a balancer, or a liveness report of a voter.
func (f *Feed) Report(now time.Time, r evidence.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uneven.Record(now, r)
	if len(r.Events) == 0 {
		return
	}
	for _, e := range r.Events {
		f.detector.Record(now, r.From, e)
	}
	f.evaluate(now)
}

// refuteSuspicion records the announcement of a suspected upstream as a liveness report. It reports
// whether the upstream was suspected.
func (f *Feed) refuteSuspicion(now time.Time, a handover.Announcement) bool {
	e := LivenessEvent(a.Upstream)
	e.Age = a.Age
	if !f.detector.IsSuspected(e) {
		return false
	}
	f.detector.Record(now, "", e)
	f.evaluate(now)
	return true
}

// LivenessEvent returns the event of a liveness report on an announced upstream.
func LivenessEvent(u upstream.Upstream) evidence.Event {
	return evidence.Event{Incarnation: u.Incarnation, Born: u.Born, Zone: u.Zone, Answered: true}
}

// evaluate updates the suspicions from the evidence and reports changes to balancers. It also runs
// between two calls of Tick: during a delay of 100 ms, callers would send further requests on flows of
// an unresponsive upstream.
func (f *Feed) evaluate(now time.Time) {
	before := f.suspicionsVersion()
	next := f.detector.Evaluate(now, f.activeBalancers(now), f.relayHops())
	if f.suspicionsVersion() != before {
		f.wakeForSuspicions(now)
	}
	f.startProbes(now)
	if next.IsZero() || f.evaluationScheduled {
		return
	}
	f.evaluationScheduled = true
	time.AfterFunc(next.Sub(now), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.evaluationScheduled = false
		f.evaluate(f.clock())
	})
}

// evaluateUneven updates the verdicts on uneven upstreams and reports changes to balancers.
func (f *Feed) evaluateUneven(now time.Time) {
	before := f.uneven.Version()
	f.uneven.Evaluate(now)
	if f.uneven.Version() == before {
		return
	}
	f.reduced = f.uneven.Reduced()
	f.reducedVersion = verdicts.Version(f.reduced)
	f.wakeForSuspicions(now)
}

// attachUneven adds the verdicts on uneven upstreams to a response, and reports whether the balancer
// holds others.
func (f *Feed) attachUneven(req Request, resp *Response) bool {
	if req.Uneven == nil {
		return false
	}
	resp.UnevenVersion = f.reducedVersion
	if *req.Uneven == f.reducedVersion {
		return false
	}
	resp.Uneven = f.reduced
	return true
}

// wakeForSuspicions completes polls because suspicions changed. If balancers relay the suspicions,
// the rate of these responses is limited, so that hundreds of upstreams that fail together are
// reported together.
func (f *Feed) wakeForSuspicions(now time.Time) {
	pause := time.Duration(0)
	if f.relayHops() > 0 {
		pause = time.Duration(len(f.lastPoll)) * suspicionsIntervalPerBalancer
	}
	at, schedule := f.suspicionsPacer.Schedule(now, pause)
	switch {
	case !at.After(now):
		f.suspicionsPacer.Sent(now)
		f.wake()
	case schedule:
		time.AfterFunc(at.Sub(now), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.suspicionsPacer.Sent(f.clock())
			f.wake()
		})
	}
}

// activeBalancers drops expired polls and returns the number of balancers that poll this voter.
func (f *Feed) activeBalancers(now time.Time) int {
	for name, a := range f.lastPoll {
		if now.Sub(a.at) > pollExpiry {
			delete(f.lastPoll, name)
		}
	}
	return len(f.lastPoll)
}

// relayHops returns the largest number of relay hops below a polling balancer. Balancers report
// the number because a voter that has just started does not know the fleet.
func (f *Feed) relayHops() int {
	hops := 0
	for _, a := range f.lastPoll {
		hops = max(hops, a.relayHops)
	}
	return hops
}
