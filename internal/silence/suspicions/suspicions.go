package suspicions

import (
	"time"

	"wasabideal/internal/silence/evidence"
)

// Suspicion is the merged suspicion of one subject, with times of the balancer's own clock.
type Suspicion struct {
	// First is when the earliest unanswered packet was sent.
	First time.Time
	// Unresponsive reports whether a voter reports the subject as unresponsive, that is,
	// confirmed by probes.
	Unresponsive bool
	// Voter is a voter that reports the subject as unresponsive, or empty.
	Voter string
}

// report is the latest report of one voter.
type report struct {
	// at is when the report arrived, and contact is when the voter was last reachable.
	at, contact time.Time
	suspicions  []evidence.Suspicion
	// expired reports whether the voter's lease has expired.
	expired bool
}

// Set holds the latest report of each voter. It is not safe for concurrent use.
type Set struct {
	lease   time.Duration
	reports map[string]report
}

// New returns an empty set. The report of a voter expires if there is no contact with the voter
// for the duration of the lease.
func New(lease time.Duration) *Set { return &Set{lease: lease, reports: map[string]report{}} }

// Update replaces the report of a voter that is reachable now, and returns whether All may
// have changed.
func (s *Set) Update(now time.Time, voter string, all []evidence.Suspicion) bool {
	return s.UpdateRelayed(now, now, voter, all)
}

// UpdateRelayed is Update for a relayed report. contact is when the voter was last reachable.
func (s *Set) UpdateRelayed(now, contact time.Time, voter string, all []evidence.Suspicion) bool {
	before := s.reports[voter]
	if len(all) == 0 {
		delete(s.reports, voter)
		return len(before.suspicions) > 0
	}
	s.reports[voter] = report{at: now, contact: contact, suspicions: all}
	return true
}

// RecordContact records that a voter was reachable and its report is unchanged.
func (s *Set) RecordContact(contact time.Time, voter string) {
	if r, ok := s.reports[voter]; ok && contact.After(r.contact) {
		r.contact = contact
		s.reports[voter] = r
	}
}

// Any reports whether any voter with a valid lease suspects a subject.
func (s *Set) Any() bool {
	for _, r := range s.reports {
		if !r.expired {
			return true
		}
	}
	return false
}

// Expire updates which reports have expired, because there was no contact with their voter for
// the duration of the lease. It returns whether any report expired or became valid again.
func (s *Set) Expire(now time.Time) bool {
	changed := false
	for voter, r := range s.reports {
		if expired := now.Sub(r.contact) > s.lease; expired != r.expired {
			r.expired = expired
			s.reports[voter] = r
			changed = true
		}
	}
	return changed
}

// All merges the valid reports. The report of one voter suffices, since the others may be
// partitioned from the balancers that reported the unanswered packets.
func (s *Set) All() map[evidence.Subject]Suspicion {
	all := map[evidence.Subject]Suspicion{}
	for voter, r := range s.reports {
		if r.expired {
			continue
		}
		for _, x := range r.suspicions {
			first := r.at.Add(-x.Age)
			merged, known := all[x.Subject]
			if !known || first.Before(merged.First) {
				merged.First = first
			}
			if x.Unresponsive && (!merged.Unresponsive || voter < merged.Voter) {
				merged.Unresponsive, merged.Voter = true, voter
			}
			all[x.Subject] = merged
		}
	}
	return all
}
