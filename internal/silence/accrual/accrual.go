package accrual

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wasabideal/internal/silence/word"
)

const (
	// doubtFrom is the evidence from which balancers are asked for signs of life: two
	// packets where one in a hundred is lost.
	doubtFrom = 8
	// upstreamFrom is the evidence from which an upstream counts as unresponsive: a
	// chance of one in a million, three packets where one in a hundred is lost.
	upstreamFrom = 13.5
	// zoneFrom is the same for a whole zone, whose flows are many times as many: five
	// packets.
	zoneFrom = 20
	// zoneDoubtFrom is the evidence from which a zone is in doubt.
	zoneDoubtFrom = 16
	// alarmStep is by how much each doubt that was answered raises the evidence that
	// further ones need, as a share of it, and alarmMost the most. On links of 2 Mbit/s
	// that uploads fill packets are repeated all the time; each doubt asks all balancers
	// for signs of life, and their answers took room from the uploads: 0.4 % of the
	// requests of 71 balancers were not served, 0.06 % without doubts. alarmMemory is how
	// long an answered doubt counts.
	alarmStep   = 0.5
	alarmMost   = 6
	alarmMemory = 5 * time.Second
	// zoneUpstreams is how many upstreams of a zone must have left packets unanswered.
	zoneUpstreams = 2
	// objectionTime is how long balancers have for a sign of life, and each packet's
	// repetition for its answer: several round trips to the farthest zone, the work of
	// a usual request, and a slow VM's turn.
	objectionTime = 60 * time.Millisecond
	// passingTime is added for each balancer that passes on the doubt and its
	// refutation: the doubts of several voters are gathered there, reports are sent each 20 ms, and
	// both wait on one more narrow link. Without it, flows of upstreams that live were reset
	// where links were full and two balancers were on the way
	// (TestRefutationsThroughOtherBalancersComeInTime).
	passingTime = 120 * time.Millisecond
	// eventFor is how long a packet counts as evidence: as long as its caller waits.
	eventFor = 1500 * time.Millisecond
	// unresponsiveFor is how long a subject stays unresponsive without new evidence.
	// Its announcements are overdue then if it is gone, and balancers try it again if
	// not.
	unresponsiveFor = 2500 * time.Millisecond
	// doubtsMost bounds the subjects that balancers are told of at once, 25 bytes each.
	// Zones come first, so that those of a whole zone are among them.
	doubtsMost = 64
	// eventsMost bounds the events kept of one subject; more add nothing.
	eventsMost = 32
	// implicatedMost bounds the upstreams that are remembered of one doubt.
	implicatedMost = 4
)

type evidence struct {
	from string
	// upstream is the one that the packet went to.
	upstream word.Subject
	// sent is when the packet was first sent, told when its repetition was reported.
	sent, told time.Time
	weight     float64
}

type record struct {
	events []evidence
	// alive is the last sign of life that was told.
	alive time.Time
	// doubted and unresponsive are since when it is so, zero where it is not.
	doubted, unresponsive time.Time
	// first is when the first of the packets was sent that the doubt rests on.
	first time.Time
	// implicated are the upstreams that left those packets unanswered, a few of them.
	implicated []word.Subject
}

// Accrual is the evidence that one voter was told of.
type Accrual struct {
	records map[word.Subject]*record
	version uint64
	// alarms counts the doubts that were answered lately, as of decayed.
	alarms  float64
	decayed time.Time
}

// New returns an accrual without evidence.
func New() *Accrual { return &Accrual{records: map[word.Subject]*record{}} }

// Version rises whenever Doubts changes.
func (a *Accrual) Version() uint64 { return a.version }

// subjects are what an event tells of: the upstream, and its zone as a whole.
func subjects(e word.Event) [2]word.Subject {
	return [2]word.Subject{{Incarnation: e.Incarnation, Born: e.Born}, {Zone: e.Zone}}
}

// Note takes an event of a balancer or voter.
func (a *Accrual) Note(now time.Time, from string, e word.Event) {
	at := now.Add(-e.Age)
	for _, s := range subjects(e) {
		switch {
		case s == word.Subject{}:
		case e.Answered:
			a.answered(s, at)
		default:
			a.unanswered(now, s, evidence{from: from, upstream: word.Subject{Incarnation: e.Incarnation, Born: e.Born}, sent: at, told: now, weight: e.Weight})
		}
	}
}

// Questioned says that a sign of life of the upstream would end a doubt.
func (a *Accrual) Questioned(e word.Event) bool {
	for _, s := range subjects(e) {
		if r := a.records[s]; r != nil && !r.doubted.IsZero() {
			return true
		}
	}
	return false
}

func (a *Accrual) unanswered(now time.Time, s word.Subject, e evidence) {
	r := a.records[s]
	if r == nil {
		r = &record{}
		a.records[s] = r
	}
	if len(r.events) >= eventsMost || !e.sent.After(r.alive) || now.Sub(e.sent) > eventFor {
		return
	}
	r.events = append(r.events, e)
}

func (a *Accrual) answered(s word.Subject, at time.Time) {
	r := a.records[s]
	if r == nil {
		return
	}
	if at.After(r.alive) {
		r.alive = at
	}
	r.events = slices.DeleteFunc(r.events, func(e evidence) bool { return !e.sent.After(at) })
	if !r.doubted.IsZero() && !at.Before(r.first) {
		r.doubted, r.unresponsive, r.first = time.Time{}, time.Time{}, time.Time{}
		a.version++
		a.alarms++
	}
}

// Decide weighs the evidence; balancers is how many ask this voter for news, passing how
// many pass it on to those that are told last. It returns when it must be called again
// without further evidence, zero where it need not.
func (a *Accrual) Decide(now time.Time, balancers, passing int) time.Time {
	var next time.Time
	objection := objectionTime + time.Duration(passing)*passingTime
	a.alarms *= math.Exp(-now.Sub(a.decayed).Seconds() / alarmMemory.Seconds())
	a.decayed = now
	for s, r := range a.records {
		r.events = slices.DeleteFunc(r.events, func(e evidence) bool { return now.Sub(e.sent) > eventFor })
		if a.over(now, r) {
			delete(a.records, s)
			continue
		}
		a.decide(now, s, r, balancers, objection)
		if end := r.next(now, objection); !end.IsZero() && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	return next
}

// next is when time alone may make a subject in doubt unresponsive, zero where it cannot.
func (r *record) next(now time.Time, objection time.Duration) time.Time {
	if r.doubted.IsZero() || !r.unresponsive.IsZero() {
		return time.Time{}
	}
	for _, e := range r.events {
		if end := e.told.Add(objection); end.After(now) {
			return end
		}
	}
	return time.Time{}
}

// over ends what time alone ends, and says whether nothing is left of the record.
func (a *Accrual) over(now time.Time, r *record) bool {
	if len(r.events) > 0 || !r.unresponsive.IsZero() && now.Sub(r.unresponsive) < unresponsiveFor {
		return false
	}
	if now.Sub(r.alive) < eventFor {
		// Packets of before the sign of life may still be reported.
		return false
	}
	if !r.doubted.IsZero() {
		a.version++
	}
	return true
}

func (a *Accrual) decide(now time.Time, s word.Subject, r *record, balancers int, objection time.Duration) {
	weight, waited := 0.0, 0.0
	for _, e := range r.events {
		weight += e.weight
		if now.Sub(e.told) >= objection {
			waited += e.weight
		}
	}
	doubtful, enough := a.needed(s)
	if r.doubted.IsZero() && weight >= doubtful {
		r.doubted = now
		r.first = slices.MinFunc(r.events, func(x, y evidence) int { return x.sent.Compare(y.sent) }).sent
		r.implicated = nil
		a.version++
	}
	r.implicate()
	if r.doubted.IsZero() || !r.unresponsive.IsZero() || waited < enough || now.Sub(r.doubted) < objection {
		return
	}
	if r.witnesses(func(e evidence) any { return e.from }) < min(2, balancers) {
		return
	}
	if s.Zone != "" && r.witnesses(func(e evidence) any { return e.upstream }) < zoneUpstreams {
		return
	}
	r.unresponsive = now
	a.version++
}

// implicate remembers whose packets a doubt rests on, longer than the packets.
func (r *record) implicate() {
	if r.doubted.IsZero() {
		return
	}
	for _, e := range r.events {
		if len(r.implicated) < implicatedMost && !slices.Contains(r.implicated, e.upstream) {
			r.implicated = append(r.implicated, e.upstream)
		}
	}
}

// Implicated returns the upstreams, a few of them, on whose packets a doubt rests.
func (a *Accrual) Implicated(s word.Subject) []word.Subject {
	if r := a.records[s]; r != nil {
		return r.implicated
	}
	return nil
}

// needed returns the evidence for a doubt, and for being unresponsive.
func (a *Accrual) needed(s word.Subject) (doubtful, enough float64) {
	doubtful, enough = doubtFrom, upstreamFrom
	if s.Zone != "" {
		doubtful, enough = zoneDoubtFrom, zoneFrom
	}
	doubtful *= min(1+alarmStep*a.alarms, alarmMost)
	return doubtful, max(doubtful, enough)
}

// witnesses counts the different values of a key among the events.
func (r *record) witnesses(key func(evidence) any) int {
	seen := map[any]bool{}
	for _, e := range r.events {
		seen[key(e)] = true
	}
	return len(seen)
}

// Doubts returns the subjects in doubt, zones first.
func (a *Accrual) Doubts(now time.Time) []word.Doubt {
	var out []word.Doubt
	for s, r := range a.records {
		if !r.doubted.IsZero() {
			out = append(out, word.Doubt{Subject: s, Age: now.Sub(r.first), Unresponsive: !r.unresponsive.IsZero()})
		}
	}
	slices.SortFunc(out, func(x, y word.Doubt) int {
		return cmp.Or(cmp.Compare(y.Zone, x.Zone), cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Born, y.Born))
	})
	return out[:min(len(out), doubtsMost)]
}
