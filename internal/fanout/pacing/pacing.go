package pacing

import "time"

// Pacer holds when updates were last sent, and when they are sent next. The zero value is ready
// for use; it is not safe for concurrent use.
type Pacer struct{ lastSent, due time.Time }

// Schedule schedules an update, at the earliest a pause after the last send. It returns when
// updates are sent next. It also returns true if the caller must send then and call Sent, and
// false if an earlier call has already scheduled the send.
func (p *Pacer) Schedule(now time.Time, pause time.Duration) (time.Time, bool) {
	if !p.due.IsZero() {
		return p.due, false
	}
	p.due = p.lastSent.Add(pause)
	if p.due.Before(now) {
		p.due = now
	}
	return p.due, true
}

// Pending reports whether updates are scheduled.
func (p *Pacer) Pending() bool { return !p.due.IsZero() }

// Sent records that all updates are sent now.
func (p *Pacer) Sent(now time.Time) { p.lastSent, p.due = now, time.Time{} }
