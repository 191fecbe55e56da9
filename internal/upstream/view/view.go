package view

import (
	"cmp"
	"slices"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
)

// Settings bound a view.
type Settings struct {
	// ContactLease is how long a voter's word on who is alive holds without an
	// answer from it.
	ContactLease time.Duration
	// InheritFor is how long upstreams count as alive that only a voter's life
	// before its restart, or another voter before that, has heard.
	InheritFor time.Duration
	// ForgetAfter is how long an upstream is remembered that no voter tells of.
	ForgetAfter time.Duration
}

// Target is one upstream as the balancer sees it.
type Target struct {
	upstream.Upstream
	ColdUntil time.Time
	// Live says that some voter heard it lately.
	Live bool
	// Ended says that this incarnation is certainly over, and so are its flows.
	Ended bool
}

// News is what one voter told, directly or through balancers that pass it on.
type News struct {
	// Voter names it, Life tells its restarts apart.
	Voter string
	Life  uint64
	// Version is that of the voter's list of upstreams with these notices.
	Version uint64
	// Contact is when the voter said so at the latest.
	Contact time.Time
	Notices []directory.Notice
}

// View is what one balancer was told; one goroutine owns it.
type View struct {
	settings Settings
	sources  map[string]*source
	// records are what all voters told of each incarnation.
	records map[uint64]*record
	// inTouch is how many voters' liveness reports counted when Changes looked last.
	inTouch int
	// changed are the upstreams that may differ from what Changes returned.
	changed  map[uint64]bool
	whole    bool
	forgotAt time.Time
}

// New returns an empty view.
func New(s Settings) *View {
	return &View{settings: s, sources: map[string]*source{}, records: map[uint64]*record{}, changed: map[uint64]bool{}, whole: true}
}

// Take notes a voter's answer; life tells its restarts apart. A voter that
// restarted empty takes nothing away: upstreams that it has not heard yet stay
// for a while, and others may have heard them.
func (v *View) Take(now time.Time, name string, life uint64, notices []directory.Notice) {
	v.Hear(now, News{Voter: name, Life: life, Contact: now, Notices: notices})
}

// Hear notes what a voter told some time ago; see Take.
func (v *View) Hear(now time.Time, news News) {
	s := v.sources[news.Voter]
	if s == nil {
		s = newSource(news.Life)
		v.sources[news.Voter] = s
	}
	if s.life != news.Life {
		s.restart(news.Life, now.Add(v.settings.InheritFor))
		v.mark(s)
	}
	if s.lapsed(now) {
		v.mark(s)
	}
	if news.Contact.After(s.contact) {
		s.contact = news.Contact
	}
	for _, n := range news.Notices {
		t := told{Notice: n, at: now, life: news.Life, version: news.Version}
		if n.Recalled {
			t.until = s.lapse(now, now.Add(v.settings.InheritFor))
		}
		v.note(s, t)
	}
	s.trim()
	v.forget(now)
	v.bound()
}

// bound keeps a view whose changes nobody takes from remembering every upstream that ever was.
func (v *View) bound() {
	if len(v.changed) > len(v.records) {
		v.whole = true
		clear(v.changed)
	}
}

// note keeps what a voter told of one upstream.
func (v *View) note(s *source, t told) {
	id := t.Upstream.Incarnation
	r := v.records[id]
	if r == nil {
		r = &record{}
		v.records[id] = r
	}
	s.notices[id] = r.put(s, t)
	s.changes = append(s.changes, change{version: t.version, incarnation: id})
	v.changed[id] = true
}

// mark notes that all that a voter told may count otherwise now.
func (v *View) mark(s *source) {
	for id := range s.notices {
		v.changed[id] = true
	}
}

// Since returns what a voter told in a life after a version, as the voter would tell it
// now. What it only recalled is left out: that lapses by the clock of the receiver.
func (v *View) Since(now time.Time, voter string, life, version uint64) []directory.Notice {
	s := v.sources[voter]
	if s == nil || s.life != life {
		return nil
	}
	var out []directory.Notice
	for _, id := range s.changedSince(version) {
		t := s.notices[id]
		if t == nil || t.life != life || t.version <= version || t.Recalled {
			continue
		}
		n := t.Notice
		n.Cold = max(n.Cold-now.Sub(t.at), 0)
		n.Age += now.Sub(t.at)
		out = append(out, n)
	}
	return out
}

// forget drops what has not counted for long.
func (v *View) forget(now time.Time) {
	if now.Sub(v.forgotAt) < v.settings.ForgetAfter/10 {
		return
	}
	v.forgotAt = now
	for id, r := range v.records {
		if r.forget(now, id, v.settings.ForgetAfter) {
			v.changed[id] = true
		}
		if len(r.statements) == 0 {
			delete(v.records, id)
		}
	}
}

// Changes are the upstreams that differ from what was told before.
type Changes struct {
	// Whole means that Targets are all there are.
	Whole   bool
	Targets []Target
	Gone    []uint64
}

// Changes returns what differs since the last call, and whether anything may.
func (v *View) Changes(now time.Time) (Changes, bool) {
	v.age(now)
	if v.whole {
		v.whole = false
		clear(v.changed)
		return Changes{Whole: true, Targets: v.targets(now)}, true
	}
	if len(v.changed) == 0 {
		return Changes{}, false
	}
	var c Changes
	for id := range v.changed {
		if t, known := v.records[id].target(now, v.inTouch > 0); known {
			c.Targets = append(c.Targets, t)
		} else {
			c.Gone = append(c.Gone, id)
		}
	}
	clear(v.changed)
	slices.SortFunc(c.Targets, byIncarnation)
	return c, true
}

// Targets returns all upstreams known, in the order of incarnations.
func (v *View) Targets(now time.Time) []Target {
	v.age(now)
	return v.targets(now)
}

// Target returns one upstream, if it is known.
func (v *View) Target(now time.Time, incarnation uint64) (Target, bool) {
	v.age(now)
	return v.records[incarnation].target(now, v.inTouch > 0)
}

func (v *View) targets(now time.Time) []Target {
	out := make([]Target, 0, len(v.records))
	for _, r := range v.records {
		if t, known := r.target(now, v.inTouch > 0); known {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, byIncarnation)
	return out
}

func byIncarnation(a, b Target) int { return cmp.Compare(a.Incarnation, b.Incarnation) }

// age marks what time alone has changed: the upstreams of voters that fell out of touch or
// are back, and those that a restarted voter no longer reports. Of one voter among many these
// are a small part of all upstreams.
func (v *View) age(now time.Time) {
	inTouch := 0
	for _, s := range v.sources {
		if is := now.Sub(s.contact) <= v.settings.ContactLease; is != s.inTouch {
			s.inTouch = is
			v.mark(s)
		}
		if s.inTouch {
			inTouch++
		}
		if s.lapsed(now) {
			v.mark(s)
		}
	}
	if (inTouch == 0) != (v.inTouch == 0) {
		// Out of touch with all voters, each one's last report holds.
		v.whole = true
	}
	v.inTouch = inTouch
}
