package view

import (
	"slices"
	"time"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
)

// voterNotice is the latest notice of one voter on one upstream.
type voterNotice struct {
	directory.Notice
	receivedAt time.Time
	// life and version are those of the voter when it sent the notice; see Update.
	life, version uint64
	// expiresAt is when the notice expires if the voter has not confirmed it since its restart.
	// It is zero for a confirmed notice.
	expiresAt time.Time
}

// obsolete reports whether the notice can be forgotten after Settings.ForgetAfter.
func (t *voterNotice) obsolete() bool {
	return t.Silent || t.Replaced || t.Upstream.State == upstream.Withdrawn || !t.expiresAt.IsZero()
}

// lastValid returns the last time at which the notice was known to be valid: its receipt, or its
// expiry if that is later. If only the receipt counted, an old notice from before the voter's
// restart would be forgotten at once.
func (t *voterNotice) lastValid() time.Time {
	if t.expiresAt.After(t.receivedAt) {
		return t.expiresAt
	}
	return t.receivedAt
}

// sourcedNotice is a notice with the voter that sent it.
type sourcedNotice struct {
	source *source
	notice *voterNotice
}

// record holds the notices of all voters on one incarnation. Usually only one voter has sent a
// notice; after a withdrawal all voters have.
type record struct {
	byVoter []sourcedNotice
	// born is the latest start in any notice. A voter that missed that start may still send
	// notices on an earlier instance for a while; these notices are ignored.
	born uint64
}

// put replaces the notice of a voter and returns the stored copy.
func (r *record) put(s *source, t voterNotice) *voterNotice {
	r.born = max(r.born, t.Upstream.Born)
	for _, x := range r.byVoter {
		if x.source == s {
			*x.notice = t
			return x.notice
		}
	}
	r.byVoter = append(r.byVoter, sourcedNotice{source: s, notice: &t})
	return &t
}

// forget deletes the notices that have been obsolete for a duration, and returns whether there
// were any.
func (r *record) forget(now time.Time, id uint64, after time.Duration) bool {
	before := len(r.byVoter)
	r.byVoter = slices.DeleteFunc(r.byVoter, func(x sourcedNotice) bool {
		if !x.notice.obsolete() || now.Sub(x.notice.lastValid()) <= after {
			return false
		}
		delete(x.source.notices, id)
		return true
	})
	return len(r.byVoter) != before
}

// target merges the notices on one upstream, and returns whether there are any on its latest
// instance. While no voter is reachable, the last notices of all voters stay valid.
func (r *record) target(now time.Time, anyReachable bool) (Target, bool) {
	var m merger
	if r == nil {
		return Target{}, false
	}
	for _, x := range r.byVoter {
		if x.notice.Upstream.Born >= r.born {
			m.add(now, x.notice, x.source.reachable || !anyReachable)
		}
	}
	return m.target(), !m.latest.receivedAt.IsZero()
}

// merger accumulates the notices of all voters on one upstream.
type merger struct {
	latest voterNotice
	live   bool
	// announced reports whether some voter receives the upstream's announcements in time.
	announced bool
	replaced  bool
	withdrawn bool
	ended     bool
}

// add merges one notice. The latest announcement counts, but a withdrawal is final whatever the
// sequences, as in directory.Directory.Announce.
func (m *merger) add(now time.Time, t *voterNotice, reachable bool) {
	withdrawn := t.Upstream.State == upstream.Withdrawn
	if !m.withdrawn && (m.latest.receivedAt.IsZero() || withdrawn || t.Upstream.Later(m.latest.Upstream)) {
		m.latest = *t
	}
	m.withdrawn = m.withdrawn || withdrawn
	// On a withdrawn upstream, Silent means that it is assumed to have ended.
	m.ended = m.ended || withdrawn && t.Silent
	m.replaced = m.replaced || t.Replaced
	announced := !t.Silent && (t.expiresAt.IsZero() || now.Before(t.expiresAt))
	m.announced = m.announced || announced
	m.live = m.live || announced && !t.Replaced && reachable
}

func (m *merger) target() Target {
	return Target{
		Upstream: m.latest.Upstream, ColdUntil: m.latest.receivedAt.Add(m.latest.Cold), Live: m.live && !m.withdrawn,
		// A withdrawn upstream serves its open flows until it has ended. Replaced alone does not
		// mean ended: a delayed announcement of an earlier incarnation can mark a running
		// upstream as replaced, and its flows would be reset. It counts as ended only once its
		// own announcements are overdue.
		Ended: m.ended || m.replaced && !m.announced,
	}
}
