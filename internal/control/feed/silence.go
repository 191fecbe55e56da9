package feed

import (
	"context"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/wire/rpc"
)

// ReportMethod is the call by which balancers tell of upstreams that leave packets
// unanswered, and balancers and voters of signs of life.
const ReportMethod = "Feed.Report"

// ReportsMethod is the same for what several balancers saw, passed on by one.
const ReportsMethod = "Feed.Reports"

// doubtsEach is the least time between two answers with doubts for each that asks: 44 of them
// get 500 a second at the most.
const doubtsEach = 2 * time.Millisecond

// balancerFor is how long a balancer counts as one that listens here, after its last
// question: longer than one question waits.
const balancerFor = 2 * time.Second

type empty struct{}

func (f *Feed) serveReports(r *rpc.Server, token string) {
	rpc.Handle(r, ReportMethod, token, func(_ context.Context, report word.Report) (empty, error) {
		f.Report(f.clock(), report)
		return empty{}, nil
	})
	rpc.Handle(r, ReportsMethod, token, func(_ context.Context, reports []word.Report) (empty, error) {
		now := f.clock()
		for _, report := range reports {
			f.Report(now, report)
		}
		return empty{}, nil
	})
}

// Report takes what a balancer saw, or a sign of life that a voter heard.
func (f *Feed) Report(now time.Time, r word.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range r.Events {
		f.silence.Note(now, r.From, e)
	}
	f.weigh(now)
}

// heard ends doubts in an upstream that announces itself, and says whether there were any.
func (f *Feed) heard(now time.Time, a handover.Announcement) bool {
	e := Heard(a.Upstream)
	e.Age = a.Age
	if !f.silence.Questioned(e) {
		return false
	}
	f.silence.Note(now, "", e)
	f.weigh(now)
	return true
}

// Heard is the sign of life that an announcement is.
func Heard(u upstream.Upstream) word.Event {
	return word.Event{Incarnation: u.Incarnation, Born: u.Born, Zone: u.Zone, Answered: true}
}

// weigh decides on the evidence and tells balancers what changed, at once where nothing was
// told just before: each tenth of a second costs the requests that are sent on flows of a
// silent upstream meanwhile.
func (f *Feed) weigh(now time.Time) {
	before := f.doubtsVersion()
	next := f.silence.Decide(now, f.balancers(now), f.passing())
	if f.doubtsVersion() != before {
		f.tellDoubts(now)
	}
	f.probe(now)
	if next.IsZero() || f.weighing {
		return
	}
	f.weighing = true
	time.AfterFunc(next.Sub(now), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.weighing = false
		f.weigh(f.clock())
	})
}

// tellDoubts wakes those that ask for what this voter doubts. Where balancers pass it on, and
// have the time for that, hundreds of upstreams that fall silent together are told of together.
func (f *Feed) tellDoubts(now time.Time) {
	pause := time.Duration(0)
	if f.passing() > 0 {
		pause = time.Duration(len(f.asked)) * doubtsEach
	}
	at, schedule := f.doubts.News(now, pause)
	switch {
	case !at.After(now):
		f.doubts.Told(now)
		f.wake()
	case schedule:
		time.AfterFunc(at.Sub(now), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.doubts.Told(f.clock())
			f.wake()
		})
	}
}

// balancers counts those that listen here.
func (f *Feed) balancers(now time.Time) int {
	for name, a := range f.asked {
		if now.Sub(a.at) > balancerFor {
			delete(f.asked, name)
		}
	}
	return len(f.asked)
}

// passing is how many balancers pass on what is said here, to those that are told last.
// Balancers know that of their zones: a voter that has just started does not.
func (f *Feed) passing() int {
	most := 0
	for _, a := range f.asked {
		most = max(most, a.passing)
	}
	return most
}
