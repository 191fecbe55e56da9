package view

import (
	"slices"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
)

// told is one voter's notice on one upstream.
type told struct {
	directory.Notice
	at time.Time
	// life and version are the voter's when it said so.
	life, version uint64
	// until ends a notice that a restarted voter no longer confirms; zero where it still
	// does.
	until time.Time
}

func (t *told) gone() bool {
	return t.Silent || t.Replaced || t.Upstream.State == upstream.Withdrawn || !t.until.IsZero()
}

// last is until when the notice counted; one that a restarted voter inherited
// counts on, whatever its age.
func (t *told) last() time.Time {
	if t.until.After(t.at) {
		return t.until
	}
	return t.at
}

// statement is a notice with the voter that told it.
type statement struct {
	source *source
	told   *told
}

// record is what all voters told of one incarnation: one of them mostly, all where it left.
type record struct {
	statements []statement
	// born is the latest start that any voter told of. A voter that missed it may tell of
	// the life before for a while, and must not undo it.
	born uint64
}

// put takes a voter's notice in place of its last one, and returns where it is kept.
func (r *record) put(s *source, t told) *told {
	r.born = max(r.born, t.Upstream.Born)
	for _, x := range r.statements {
		if x.source == s {
			*x.told = t
			return x.told
		}
	}
	r.statements = append(r.statements, statement{source: s, told: &t})
	return &t
}

// forget drops the notices that have not counted for a time, and says whether any were.
func (r *record) forget(now time.Time, id uint64, after time.Duration) bool {
	before := len(r.statements)
	r.statements = slices.DeleteFunc(r.statements, func(x statement) bool {
		if !x.told.gone() || now.Sub(x.told.last()) <= after {
			return false
		}
		delete(x.source.notices, id)
		return true
	})
	return len(r.statements) != before
}

// target joins the notices of one upstream, and says whether there are any on its latest life.
// Out of touch with all voters, each one's last report holds.
func (r *record) target(now time.Time, anyInTouch bool) (Target, bool) {
	var j joined
	if r == nil {
		return Target{}, false
	}
	for _, x := range r.statements {
		if x.told.Upstream.Born >= r.born {
			j.add(now, x.told, x.source.inTouch || !anyInTouch)
		}
	}
	return j.target(), !j.best.at.IsZero()
}

// joined collects the voters' notices on one upstream.
type joined struct {
	best told
	live bool
	// heard says that its announcements are not overdue at some voter.
	heard     bool
	replaced  bool
	withdrawn bool
	ended     bool
}

func (j *joined) add(now time.Time, t *told, inTouch bool) {
	withdrawn := t.Upstream.State == upstream.Withdrawn
	if !j.withdrawn && (j.best.at.IsZero() || withdrawn || t.Upstream.Later(j.best.Upstream)) {
		j.best = *t
	}
	j.withdrawn = j.withdrawn || withdrawn
	j.ended = j.ended || withdrawn && t.Silent
	j.replaced = j.replaced || t.Replaced
	heard := !t.Silent && (t.until.IsZero() || now.Before(t.until))
	j.heard = j.heard || heard
	j.live = j.live || heard && !t.Replaced && inTouch
}

func (j *joined) target() Target {
	return Target{
		Upstream: j.best.Upstream, ColdUntil: j.best.at.Add(j.best.Cold), Live: j.live && !j.withdrawn,
		// One that has withdrawn serves its open flows until it ends. Another incarnation at
		// the address ends this one only once it is silent: a delayed announcement of an
		// earlier one would otherwise reset the flows of an upstream that serves.
		Ended: j.ended || j.replaced && !j.heard,
	}
}
