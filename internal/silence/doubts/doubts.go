package doubts

import (
	"time"

	"wasabideal/internal/silence/word"
)

// Doubt is one subject's doubt on the balancer's own clock.
type Doubt struct {
	// First is when the first of the unanswered packets was sent.
	First time.Time
	// Unresponsive says that a voter has enough evidence.
	Unresponsive bool
	// Voter is the one that has it.
	Voter string
}

type told struct {
	// at is when the voter said so, contact when it was last in touch.
	at, contact time.Time
	doubts      []word.Doubt
	// expired says that the voter is out of touch for longer than the lease.
	expired bool
}

// Doubts are the voters' words; one goroutine owns them.
type Doubts struct {
	lease time.Duration
	told  map[string]told
}

// New returns no doubts; a voter's word holds for the lease without an answer from it.
func New(lease time.Duration) *Doubts { return &Doubts{lease: lease, told: map[string]told{}} }

// Take notes all that one voter doubts, and reports whether that may change the whole.
func (d *Doubts) Take(now time.Time, voter string, all []word.Doubt) bool {
	return d.Hear(now, now, voter, all)
}

// Hear notes the same for what was passed on: the voter itself was in touch earlier.
func (d *Doubts) Hear(now, contact time.Time, voter string, all []word.Doubt) bool {
	before := d.told[voter]
	if len(all) == 0 {
		delete(d.told, voter)
		return len(before.doubts) > 0
	}
	d.told[voter] = told{at: now, contact: contact, doubts: all}
	return true
}

// Contact notes that a voter was in touch and doubts what it did before.
func (d *Doubts) Contact(contact time.Time, voter string) {
	if t, doubts := d.told[voter]; doubts && contact.After(t.contact) {
		t.contact = contact
		d.told[voter] = t
	}
}

// Stand says that any voter in touch doubts anything.
func (d *Doubts) Stand() bool {
	for _, t := range d.told {
		if !t.expired {
			return true
		}
	}
	return false
}

// Expired says whether the reports of some voters do not count any more, since those have not
// answered for the lease, or count again.
func (d *Doubts) Expired(now time.Time) bool {
	changed := false
	for voter, t := range d.told {
		if expired := now.Sub(t.contact) > d.lease; expired != t.expired {
			t.expired = expired
			d.told[voter] = t
			changed = true
		}
	}
	return changed
}

// All joins the words: one voter's suffices, since the others may be cut off from those
// who saw the silence.
func (d *Doubts) All() map[word.Subject]Doubt {
	all := map[word.Subject]Doubt{}
	for voter, t := range d.told {
		if t.expired {
			continue
		}
		for _, x := range t.doubts {
			first := t.at.Add(-x.Age)
			j, known := all[x.Subject]
			if !known || first.Before(j.First) {
				j.First = first
			}
			if x.Unresponsive && (!j.Unresponsive || voter < j.Voter) {
				j.Unresponsive, j.Voter = true, voter
			}
			all[x.Subject] = j
		}
	}
	return all
}
