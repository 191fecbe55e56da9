package view

import (
	"cmp"
	"maps"
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
	// Ended says that this incarnation is certainly over.
	Ended bool
}

type told struct {
	directory.Notice
	at time.Time
	// life and version are the voter's when it said so.
	life, version uint64
	// until ends a notice that a restarted voter no longer vouches for; zero
	// where it still does.
	until time.Time
}

type source struct {
	life    uint64
	contact time.Time
	// changes are the latest notices of this life, for those who follow this balancer.
	changes []change
	// inherited is until when notices of an earlier life count.
	inherited time.Time
	notices   map[uint64]told
}

// change says that a notice on an incarnation came with a version of the voter.
type change struct{ version, incarnation uint64 }

// changesMost bounds the changes that are remembered of one voter. Whoever missed more
// is told all that the voter said: 40 bytes an upstream, as 16 bytes are here for each.
const changesMost = 1024

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
	// drawn is what Changes last rested on beside the notices, changed are the
	// upstreams of which something was told since.
	drawn   standing
	changed map[uint64]bool
	// born is the latest start that any voter told of an incarnation. A voter that
	// missed it may tell of the life before for a while, and must not undo it.
	born     map[uint64]uint64
	whole    bool
	forgotAt time.Time
}

// standing is what time alone changes: which voters' words count, and until when
// what restarted voters no longer vouch for does.
type standing struct {
	fresh int
	until time.Time
}

// New returns an empty view.
func New(s Settings) *View {
	return &View{settings: s, sources: map[string]*source{}, changed: map[uint64]bool{}, born: map[uint64]uint64{}, whole: true}
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
		s = &source{life: news.Life, notices: map[uint64]told{}}
		v.sources[news.Voter] = s
	}
	if s.life != news.Life {
		s.life, s.changes = news.Life, nil
		s.inherited = now.Add(v.settings.InheritFor)
		for id, t := range s.notices {
			t.until = s.inherited
			s.notices[id] = t
		}
		v.whole = true
	}
	if news.Contact.After(s.contact) {
		s.contact = news.Contact
	}
	for _, n := range news.Notices {
		t := told{Notice: n, at: now, life: news.Life, version: news.Version}
		if n.Recalled {
			// The voter forgets it without a word unless it hears it itself. All that
			// one voter recalled lapses together, or the end of one would be missed.
			if !s.inherited.After(now) {
				s.inherited = now.Add(v.settings.InheritFor)
			}
			t.until = s.inherited
		}
		id := n.Upstream.Incarnation
		s.notices[id] = t
		s.changes = append(s.changes, change{version: news.Version, incarnation: id})
		v.changed[id] = true
		if n.Upstream.Born > v.born[id] {
			v.born[id] = n.Upstream.Born
		}
	}
	if len(s.changes) > 2*changesMost {
		s.changes = slices.Clone(s.changes[len(s.changes)-changesMost:])
	}
	v.forget(now)
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
		if t.life != life || t.version <= version || t.Recalled {
			continue
		}
		n := t.Notice
		n.Cold = max(n.Cold-now.Sub(t.at), 0)
		n.Age += now.Sub(t.at)
		out = append(out, n)
	}
	return out
}

// changedSince returns the incarnations of which a voter told after a version, each once.
func (s *source) changedSince(version uint64) []uint64 {
	first := len(s.changes)
	if first == 0 {
		return nil
	}
	for first > 0 && s.changes[first-1].version > version {
		first--
	}
	if first == 0 {
		// The changes may begin later than the version asked for.
		return slices.Collect(maps.Keys(s.notices))
	}
	seen := make(map[uint64]bool, len(s.changes)-first)
	for _, c := range s.changes[first:] {
		seen[c.incarnation] = true
	}
	return slices.Collect(maps.Keys(seen))
}

// forget drops what has not counted for long.
func (v *View) forget(now time.Time) {
	if now.Sub(v.forgotAt) < v.settings.ForgetAfter/10 {
		return
	}
	v.forgotAt = now
	for _, s := range v.sources {
		for id, t := range s.notices {
			if t.gone() && now.Sub(t.last()) > v.settings.ForgetAfter {
				delete(s.notices, id)
				v.changed[id] = true
			}
		}
	}
	for id := range v.born {
		if !v.mentioned(id) {
			delete(v.born, id)
		}
	}
}

// mentioned says that some voter tells of an incarnation.
func (v *View) mentioned(id uint64) bool {
	for _, s := range v.sources {
		if _, ok := s.notices[id]; ok {
			return true
		}
	}
	return false
}

func (t told) gone() bool {
	return t.Silent || t.Replaced || t.Upstream.State == upstream.Withdrawn || !t.until.IsZero()
}

// last is until when the word counted; one that a restarted voter inherited
// counts on, however long ago it was told.
func (t told) last() time.Time {
	if t.until.After(t.at) {
		return t.until
	}
	return t.at
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
	if v.whole || v.outdated(now) {
		v.whole = false
		clear(v.changed)
		return Changes{Whole: true, Targets: v.Targets(now)}, true
	}
	if len(v.changed) == 0 {
		return Changes{}, false
	}
	var c Changes
	for id := range v.changed {
		if j := v.join(now, id); j != nil {
			c.Targets = append(c.Targets, j.target())
		} else {
			c.Gone = append(c.Gone, id)
		}
	}
	clear(v.changed)
	slices.SortFunc(c.Targets, byIncarnation)
	return c, true
}

// join collects the voters' words on one upstream, nil where there is none.
func (v *View) join(now time.Time, id uint64) *joined {
	var j *joined
	anyFresh := v.drawn.fresh > 0
	for _, s := range v.sources {
		t, ok := s.notices[id]
		if !ok || t.Upstream.Born < v.born[id] {
			continue
		}
		if j == nil {
			j = &joined{}
		}
		j.add(now, t, v.fresh(now, s) || !anyFresh)
	}
	return j
}

func byIncarnation(a, b Target) int { return cmp.Compare(a.Incarnation, b.Incarnation) }

// outdated says that time alone has changed what Targets would return.
func (v *View) outdated(now time.Time) bool {
	return v.standing(now).fresh != v.drawn.fresh || !v.drawn.until.IsZero() && !now.Before(v.drawn.until)
}

func (v *View) standing(now time.Time) standing {
	var s standing
	for _, x := range v.sources {
		if v.fresh(now, x) {
			s.fresh++
		}
		if x.inherited.After(now) && (s.until.IsZero() || x.inherited.Before(s.until)) {
			s.until = x.inherited
		}
	}
	return s
}

// joined collects the voters' words on one upstream.
type joined struct {
	best told
	live bool
	// heard says that its announcements are not overdue at some voter.
	heard    bool
	replaced bool
	ended    bool
}

// Targets returns all upstreams known, in the order of incarnations.
func (v *View) Targets(now time.Time) []Target {
	v.drawn = v.standing(now)
	known := map[uint64]bool{}
	for _, s := range v.sources {
		for id := range s.notices {
			known[id] = true
		}
	}
	out := make([]Target, 0, len(known))
	for id := range known {
		if j := v.join(now, id); j != nil {
			out = append(out, j.target())
		}
	}
	slices.SortFunc(out, byIncarnation)
	return out
}

func (v *View) fresh(now time.Time, s *source) bool {
	return now.Sub(s.contact) <= v.settings.ContactLease
}

func (j *joined) add(now time.Time, t told, fresh bool) {
	withdrawn := t.Upstream.State == upstream.Withdrawn
	if !j.ended && (j.best.at.IsZero() || withdrawn || t.Upstream.Later(j.best.Upstream)) {
		j.best = t
	}
	j.ended = j.ended || withdrawn
	j.replaced = j.replaced || t.Replaced
	heard := !t.Silent && (t.until.IsZero() || now.Before(t.until))
	j.heard = j.heard || heard
	j.live = j.live || heard && !t.Replaced && fresh
}

func (j *joined) target() Target {
	return Target{
		Upstream: j.best.Upstream, ColdUntil: j.best.at.Add(j.best.Cold), Live: j.live && !j.ended,
		// Another incarnation at the address ends this one, so that its flows can
		// be reset, but only once it is silent: a delayed announcement of the one
		// that was there before would otherwise reset the flows of an upstream
		// that serves.
		Ended: j.ended || j.replaced && !j.heard,
	}
}
