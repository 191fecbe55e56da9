package cookie

import (
	"fmt"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/silence/doubts"
	"wasabideal/internal/silence/word"
)

// doubtSoon does so at once, or together with what voters tell within doubtPause after the last
// time; the lock is held.
func (b *Balancer) doubtSoon(now time.Time) {
	at, schedule := b.doubtsPacing.News(now, doubtPause)
	switch {
	case !at.After(now):
		b.doubt(now)
	case schedule:
		time.AfterFunc(at.Sub(now), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.ctx.Err() == nil {
				b.doubt(b.settings.Clock())
			}
		})
	}
}

// doubt tells the router what voters doubt, and resets the flows that it gives up; the
// lock is held.
func (b *Balancer) doubt(now time.Time) {
	b.doubted = now
	b.doubtsPacing.Told(now)
	all := b.doubts.All()
	resets := b.router.Doubt(now, all)
	b.noteUnresponsive(now, all, len(resets))
	b.used = 0
	for _, p := range resets {
		b.perform(now, p, nil, router.Verdict{Action: router.Reset, Reason: router.Unresponsive, Revision: b.router.Revision()})
	}
	if err := b.socket.Flush(); err != nil {
		b.sendFailed(err)
	}
	b.tellVoters()
}

// noteUnresponsive logs what counts as unresponsive now and did not before, and the
// reverse.
func (b *Balancer) noteUnresponsive(now time.Time, all map[word.Subject]doubts.Doubt, resets int) {
	for s, d := range all {
		if d.Unresponsive && !b.unresponsive[s] {
			b.unresponsive[s] = true
			b.counts.unresponsive.Inc(1)
			b.log.Info("upstream unresponsive", "Incarnation", fmt.Sprintf("%x", s.Incarnation), "Born", s.Born,
				"Zone", s.Zone, "SilentFor", now.Sub(d.First).String(), "Voter", d.Voter, "FlowsReset", resets)
		}
	}
	for s := range b.unresponsive {
		if !all[s].Unresponsive {
			delete(b.unresponsive, s)
			b.log.Info("upstream tried again", "Incarnation", fmt.Sprintf("%x", s.Incarnation), "Born", s.Born, "Zone", s.Zone)
		}
	}
}

// tellVoters reports what the router saw of silent upstreams.
func (b *Balancer) tellVoters() {
	if events := b.router.Reports(); len(events) > 0 {
		b.counts.silenceReported.Inc(int64(len(events)))
		b.follower.Report(events)
	}
}
