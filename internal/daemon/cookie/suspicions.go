package cookie

import (
	"fmt"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
)

// scheduleSuspicions calls applySuspicions at once if the last call was at least
// minSuspicionInterval ago. Otherwise it schedules one call for the end of that interval, which
// also covers the reports that arrive until then. The caller holds the lock.
func (b *Balancer) scheduleSuspicions(now time.Time) {
	at, schedule := b.suspicionPacer.Schedule(now, minSuspicionInterval)
	switch {
	case !at.After(now):
		b.applySuspicions(now)
	case schedule:
		time.AfterFunc(at.Sub(now), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.ctx.Err() == nil {
				b.applySuspicions(b.settings.Clock())
			}
		})
	}
}

// applySuspicions updates the router's suspicions and resets the flows that the router returns.
// The caller holds the lock.
func (b *Balancer) applySuspicions(now time.Time) {
	b.suspicionsApplied = now
	b.suspicionPacer.Sent(now)
	all := b.suspicions.All()
	resets := b.router.SetSuspicions(now, all)
	b.logUnresponsive(now, all, len(resets))
	b.outputsUsed = 0
	for _, p := range resets {
		b.execute(now, p, nil, router.Verdict{Action: router.Reset, Reason: router.Unresponsive, Revision: b.router.Revision()})
	}
	if err := b.socket.Flush(); err != nil {
		b.recordSendError(err)
	}
	b.sendReports()
}

// logUnresponsive logs the upstreams and zones that became unresponsive; a zone is logged with
// incarnation 0. An upstream or zone that is no longer unresponsive, for whatever reason, is logged
// as "tried again".
func (b *Balancer) logUnresponsive(now time.Time, all map[evidence.Subject]suspicions.Suspicion, resets int) {
	for s, suspicion := range all {
		if suspicion.Unresponsive && !b.unresponsive[s] {
			b.unresponsive[s] = true
			b.counts.unresponsive.Inc(1)
			b.log.Info("upstream unresponsive", "Incarnation", fmt.Sprintf("%x", s.Incarnation), "Born", s.Born,
				"Zone", s.Zone, "SilentFor", now.Sub(suspicion.First).String(), "Voter", suspicion.Voter, "FlowsReset", resets)
		}
	}
	for s := range b.unresponsive {
		if !all[s].Unresponsive {
			delete(b.unresponsive, s)
			b.log.Info("upstream tried again", "Incarnation", fmt.Sprintf("%x", s.Incarnation), "Born", s.Born, "Zone", s.Zone)
		}
	}
}

// sendReports reports the router's observations of unanswered packets and of responses to the
// parent or the voters.
func (b *Balancer) sendReports() {
	if events := b.router.Reports(); len(events) > 0 {
		b.counts.reportedEvents.Inc(int64(len(events)))
		b.follower.Report(events)
	}
}
