package router

import (
	"cmp"
	"math"
	"net/netip"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/doubts"
	"wasabideal/internal/silence/word"
)

const (
	// lossLeast and lossMost bound the share of packets that seems to be lost on the
	// way though the upstream lives. The least makes three packets enough evidence
	// where none was seen; with the most, evidence needs so many that none suffices.
	lossLeast, lossMost = 0.01, 0.9
	// unknownTimes is how many times longer an upstream that has not answered here
	// lately may take than the one in the middle, and unknownTime what one takes where
	// none has; leastTime keeps a few quick answers from proving too much.
	unknownTimes = 2
	unknownTime  = 75 * time.Millisecond
	leastTime    = 10 * time.Millisecond
	// lossMemory is the share of what was counted that a tick leaves: about five
	// seconds count.
	lossMemory = 0.98
	// recentMemory is the same for what each upstream was sent: about half a second
	// counts. recentLeast is a fifth of a packet, what one leaves after 0.7 s.
	recentMemory = 0.8
	recentLeast  = 0.2
	// aroundLeast is how many upstreams of the own zone a comparison needs.
	aroundLeast = 3
	// reportsMost is how many packets without an answer may be reported at once, and
	// reportsEach how many more with each tick: 40 a second of 40 bytes are 1.6 kB to
	// each voter, and some of all balancers' suffice.
	reportsMost = 64
	reportsEach = 4
)

// doubt is what voters say of one upstream, or of a zone.
type doubt struct {
	doubts.Doubt
	// told says that a sign of life was reported since voters last spoke of it.
	told bool
}

// open says that the last sign of life seen here does not answer the doubt.
func (d *doubt) open(alive time.Time) bool { return d != nil && alive.Before(d.First) }

// unresponsive says, besides, that the evidence suffices.
func (d *doubt) unresponsive(alive time.Time) bool { return d.open(alive) && d.Unresponsive }

// losses counts packets that are lost on the way although upstreams live.
type losses struct {
	// answered are requests that were answered, repeated those that had to be
	// repeated before.
	answered, repeated float64
	// around is the share of requests to the own zone that were not answered in time
	// lately, where most of its upstreams left some: 0 otherwise.
	around float64
}

// share is the share of packets that seems to be lost.
func (l *losses) share() float64 {
	return min(max(l.repeated/max(l.answered, 1), l.around, lossLeast), lossMost)
}

// recent counts what an upstream was sent lately and left unanswered.
type recent struct{ sent, missed float64 }

// measureLosses lets what was counted fade, and compares the upstreams of the own zone:
// where most of them leave packets unanswered at the same time, the way there is bad and
// not each of them.
func (r *Router) measureLosses() {
	r.mayReport = min(r.mayReport+reportsEach, reportsMost)
	r.losses.answered *= lossMemory
	r.losses.repeated *= lossMemory
	used, leaving := 0, 0
	var all recent
	for _, s := range r.services {
		for _, t := range s.active {
			if t.Zone == r.settings.Zone && t.recent.sent > recentLeast {
				used++
				if t.recent.missed > recentLeast {
					leaving++
				}
				all.sent += t.recent.sent
				all.missed += t.recent.missed
			}
			t.recent.sent *= recentMemory
			t.recent.missed *= recentMemory
		}
	}
	r.losses.around = 0
	if used >= aroundLeast && 2*leaving >= used {
		r.losses.around = all.missed / all.sent
	}
}

// zone is what the upstreams of one availability zone have in common.
type zone struct {
	// alive is when any of them answered last, last the one that did.
	alive    time.Time
	last     *target
	doubt    *doubt
	refusals refusals
	// restored is when the zone was taken back from its evacuation.
	restored time.Time
}

func (r *Router) zone(name string) *zone {
	z := r.zones[name]
	if z == nil {
		z = &zone{}
		r.zones[name] = z
	}
	return z
}

// unresponsive says that balancers together found the upstream silent.
func (t *target) unresponsive() bool {
	return t.doubt.unresponsive(t.alive) || t.zone.doubt.unresponsive(t.zone.alive)
}

// evidence is the doubt for which the upstream counts as unresponsive.
func (t *target) evidence() doubts.Doubt {
	if t.doubt.unresponsive(t.alive) {
		return t.doubt.Doubt
	}
	return t.zone.doubt.Doubt
}

// doubted says that voters ask for signs of life of the upstream and none was seen here.
func (t *target) doubted() bool { return t.doubt.open(t.alive) || t.zone.doubt.open(t.zone.alive) }

// report adds an event for the voters.
func (r *Router) report(e word.Event) {
	if !r.settings.Off.Has(mechanism.SharedSilence) {
		r.reports = append(r.reports, e)
	}
}

// Reports returns what voters must be told since the last call.
func (r *Router) Reports() []word.Event {
	out := r.reports
	r.reports = nil
	return out
}

// weight is the evidence that a packet without an answer for a time is: it may have been
// lost, or the upstream is slow and still at work. Response times fall off exponentially
// where requests queue.
func (r *Router) weight(now time.Time, t *target, waited time.Duration) float64 {
	mean, known := t.response.Mean(now)
	if !known {
		mean = cmp.Or(unknownTimes*t.service.usual, unknownTime)
	}
	working := math.Exp(-waited.Seconds() / max(mean, leastTime).Seconds())
	return -math.Log(max(r.losses.share(), min(working, lossMost)))
}

// unanswered reports a packet that had to be repeated without a sign of life meanwhile,
// once for each request and opening.
func (r *Router) unanswered(now time.Time, address netip.AddrPort, f *flow) {
	t := f.target
	if f.reported || now.Sub(f.sent) < answerTime || !t.alive.Before(f.sent) {
		return
	}
	if !f.opening && r.Class(address) == configuration.Upload {
		// Bodies are repeated on busy links, too, and answered only at their end.
		return
	}
	f.reported = true
	t.recent.missed++
	t.activate()
	if t.unresponsive() || r.mayReport == 0 {
		return
	}
	r.mayReport--
	r.report(word.Event{
		Incarnation: t.Incarnation, Born: t.Born, Zone: t.Zone, Age: now.Sub(f.sent), Weight: r.weight(now, t, now.Sub(f.sent)),
	})
}

// sawLife notes an answer of an upstream, and reports it where voters doubt one.
func (r *Router) sawLife(now time.Time, t *target) {
	t.sawLife(now)
	t.zone.alive, t.zone.last = now, t
	t.zone.refusals.until = time.Time{}
	r.answerDoubts(now, t)
}

// answerDoubts reports the last sign of life of an upstream if it came after the packets
// that a doubt rests on.
func (r *Router) answerDoubts(now time.Time, t *target) {
	speaks := false
	for _, d := range [...]*doubt{t.doubt, t.zone.doubt} {
		if d != nil && !d.open(t.alive) && !d.told {
			d.told, speaks = true, true
		}
	}
	if speaks {
		r.report(word.Event{
			Incarnation: t.Incarnation, Born: t.Born, Zone: t.Zone, Age: now.Sub(t.alive), Answered: true,
		})
	}
}

// Doubt takes all that voters doubt now. It returns the packets whose flows are to be
// reset since their upstream is unresponsive: a caller waits on such a flow until it
// gives up, and what it asks there next is lost.
func (r *Router) Doubt(now time.Time, all map[word.Subject]doubts.Doubt) []Packet {
	for _, t := range r.suspects {
		t.doubt = nil
	}
	r.suspects = r.suspects[:0]
	for _, z := range r.zones {
		z.doubt = nil
	}
	doubted := false
	for s, x := range all {
		doubted = r.suspect(s, x) || doubted
	}
	if !doubted {
		return nil
	}
	for _, t := range r.suspects {
		r.answerDoubts(now, t)
	}
	for _, z := range r.zones {
		if z.doubt != nil && z.last != nil {
			r.answerDoubts(now, z.last)
		}
	}
	return r.resetStranded()
}

// suspect notes that voters doubt a subject, if it is known here. It asks for liveness reports
// anew: a voter that restarted, or was told late, may have lost the last one.
func (r *Router) suspect(s word.Subject, x doubts.Doubt) bool {
	d := &doubt{Doubt: x}
	if z := r.zones[s.Zone]; s.Zone != "" && z != nil {
		z.doubt = d
		return true
	}
	t := r.targets[s.Incarnation]
	if s.Zone != "" || t == nil || t.Born != s.Born {
		return false
	}
	t.doubt = d
	r.suspects = append(r.suspects, t)
	return true
}

// resetStranded forgets the flows of unresponsive upstreams and returns a packet of each.
func (r *Router) resetStranded() []Packet {
	var out []Packet
	for k, f := range r.flows {
		if f.target.unresponsive() && r.mayEnd(k.Address, f) {
			out = append(out, Packet{Caller: k.Caller, Address: k.Address, Cookie: f.target.cookie, Acknowledged: f.acknowledged})
			r.ended(k, f, f.target, Unresponsive)
		}
	}
	return out
}

// mayEnd says that a flow to an unresponsive upstream is of no more use to its caller: it
// waits to be opened, is idle, or carries a request that may run again. Another request
// may have run; its caller waits for whatever answer there is.
func (r *Router) mayEnd(address netip.AddrPort, f *flow) bool {
	return f.opening || !f.working || r.Class(address).Repeatable()
}
