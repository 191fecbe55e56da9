package view

import (
	"cmp"
	"slices"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
)

// Settings configures a view.
type Settings struct {
	// ContactLease is how long the notices of a voter stay valid without contact.
	ContactLease time.Duration
	// UnconfirmedTTL is how long an unconfirmed notice stays valid. A notice is unconfirmed if it
	// dates from before the voter's restart or is restored.
	UnconfirmedTTL time.Duration
	// ForgetAfter is how long an obsolete notice is kept.
	ForgetAfter time.Duration
}

// Target is the merged state of one upstream.
type Target struct {
	upstream.Upstream
	ColdUntil time.Time
	// Live reports whether some reachable voter receives the upstream's announcements in time.
	Live bool
	// Ended reports whether this incarnation no longer runs, so that its flows can be reset.
	Ended bool
}

// Update is an update from one voter, received directly or through relaying balancers.
type Update struct {
	// Voter identifies the voter, and Life the run of its process.
	Voter string
	Life  uint64
	// Version is the version of the voter's directory that includes these notices.
	Version uint64
	// Contact is when the voter was last known to be reachable.
	Contact time.Time
	Notices []directory.Notice
}

// View holds the notices that one balancer received. It is not safe for concurrent use.
type View struct {
	settings Settings
	sources  map[string]*source
	// records holds the notices of all voters by incarnation.
	records map[uint64]*record
	// reachable is the number of reachable voters at the last call of expire.
	reachable int
	// changed holds the upstreams that may differ from the last result of Changes.
	changed map[uint64]bool
	// allChanged makes the next call of Changes return all upstreams.
	allChanged bool
	// sweptAt is when the records were last checked for obsolete notices.
	sweptAt time.Time
}

// New returns an empty view.
func New(s Settings) *View {
	return &View{settings: s, sources: map[string]*source{}, records: map[uint64]*record{}, changed: map[uint64]bool{}, allChanged: true}
}

// ApplyNotices applies notices that a voter sent just now; life identifies the run of its
// process. If the voter has restarted, its earlier notices stay valid for
// Settings.UnconfirmedTTL, since the voter has not yet received the announcements of all its
// upstreams.
func (v *View) ApplyNotices(now time.Time, voter string, life uint64, notices []directory.Notice) {
	v.Apply(now, Update{Voter: voter, Life: life, Contact: now, Notices: notices})
}

// Apply applies an update that may have been relayed; see ApplyNotices.
func (v *View) Apply(now time.Time, update Update) {
	s := v.sources[update.Voter]
	if s == nil {
		s = newSource(update.Life)
		v.sources[update.Voter] = s
	}
	if s.life != update.Life {
		s.restart(update.Life, now.Add(v.settings.UnconfirmedTTL))
		v.markChanged(s)
	}
	if s.takeUnconfirmedExpiry(now) {
		v.markChanged(s)
	}
	if update.Contact.After(s.contact) {
		s.contact = update.Contact
	}
	for _, n := range update.Notices {
		t := voterNotice{Notice: n, receivedAt: now, life: update.Life, version: update.Version}
		if n.Recalled {
			t.expiresAt = s.addRestored(now, now.Add(v.settings.UnconfirmedTTL))
		}
		v.store(s, t)
	}
	s.trim()
	v.forget(now)
	v.limitChanged()
}

// limitChanged bounds the memory of a view whose Changes is never called. Otherwise the view
// would keep the incarnations of all past upstreams.
func (v *View) limitChanged() {
	if len(v.changed) > len(v.records) {
		v.allChanged = true
		clear(v.changed)
	}
}

// store keeps a voter's notice on one upstream.
func (v *View) store(s *source, t voterNotice) {
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

// markChanged marks all upstreams with a notice of a voter as changed.
func (v *View) markChanged(s *source) {
	for id := range s.notices {
		v.changed[id] = true
	}
}

// Since returns the notices that a voter has sent in the given life and after a version, as the
// voter would send them now. Restored notices are left out, since their expiry depends on the
// receiver's clock.
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
		n.Cold = max(n.Cold-now.Sub(t.receivedAt), 0)
		n.Age += now.Sub(t.receivedAt)
		out = append(out, n)
	}
	return out
}

// forget deletes notices that have been obsolete for Settings.ForgetAfter.
func (v *View) forget(now time.Time) {
	if now.Sub(v.sweptAt) < v.settings.ForgetAfter/10 {
		return
	}
	v.sweptAt = now
	for id, r := range v.records {
		if r.forget(now, id, v.settings.ForgetAfter) {
			v.changed[id] = true
		}
		if len(r.byVoter) == 0 {
			delete(v.records, id)
		}
	}
}

// Changes holds the upstreams that may differ from an earlier state.
type Changes struct {
	// Whole means that Targets holds all upstreams.
	Whole   bool
	Targets []Target
	Removed []uint64
}

// Changes returns the upstreams that may differ since the last call, and whether there are any.
func (v *View) Changes(now time.Time) (Changes, bool) {
	v.expire(now)
	if v.allChanged {
		v.allChanged = false
		clear(v.changed)
		return Changes{Whole: true, Targets: v.targets(now)}, true
	}
	if len(v.changed) == 0 {
		return Changes{}, false
	}
	var c Changes
	for id := range v.changed {
		if t, known := v.records[id].target(now, v.reachable > 0); known {
			c.Targets = append(c.Targets, t)
		} else {
			c.Removed = append(c.Removed, id)
		}
	}
	clear(v.changed)
	slices.SortFunc(c.Targets, byIncarnation)
	return c, true
}

// Targets returns all known upstreams, sorted by incarnation.
func (v *View) Targets(now time.Time) []Target {
	v.expire(now)
	return v.targets(now)
}

// Target returns one upstream and whether it is known.
func (v *View) Target(now time.Time, incarnation uint64) (Target, bool) {
	v.expire(now)
	return v.records[incarnation].target(now, v.reachable > 0)
}

func (v *View) targets(now time.Time) []Target {
	out := make([]Target, 0, len(v.records))
	for _, r := range v.records {
		if t, known := r.target(now, v.reachable > 0); known {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, byIncarnation)
	return out
}

func byIncarnation(a, b Target) int { return cmp.Compare(a.Incarnation, b.Incarnation) }

// expire marks the upstreams whose state changes without a notice: those of voters that became
// unreachable or reachable, and those with expired unconfirmed notices. A single voter has sent
// notices on only a few of the fleet's upstreams; the others need not be merged again.
func (v *View) expire(now time.Time) {
	reachable := 0
	for _, s := range v.sources {
		if r := now.Sub(s.contact) <= v.settings.ContactLease; r != s.reachable {
			s.reachable = r
			v.markChanged(s)
		}
		if s.reachable {
			reachable++
		}
		if s.takeUnconfirmedExpiry(now) {
			v.markChanged(s)
		}
	}
	if (reachable == 0) != (v.reachable == 0) {
		// While no voter is reachable, the last notices of all voters stay valid.
		v.allChanged = true
	}
	v.reachable = reachable
}
