package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/fanout/rendezvous"
	"wasabideal/internal/zoneload/report"
)

const (
	// RootInterval and FollowerInterval are the times between two reports while the load changes,
	// without and with a parent. With two levels the view is then at most 250 ms old, which is
	// little compared with the 500 ms over which placement adapts.
	RootInterval     = 45 * time.Millisecond
	FollowerInterval = 80 * time.Millisecond
	// IdleInterval is the time between two reports otherwise. A zone's view is as old as its oldest
	// report, so that a balancer whose load does not change determines its age. Four reports may be
	// lost before the receiver drops the last one.
	IdleInterval = 150 * time.Millisecond
	// silenceMargin is the time beyond the lifetime of a report for which nothing is sent after a
	// change of receiver. It covers the transit of the last report, and the time until the former
	// receiver has sent a report without it.
	silenceMargin = FollowerInterval
	// minSlots and minShare are the differences from the last report above which the load counts
	// as changed: less has no effect on decisions.
	minSlots = 1
	minShare = 0.1
	// votersUsed is the number of voters that receive each report. The second one serves on when
	// the first one stops.
	votersUsed = 2
	// silentAfter and silentReports are the time and the number of reports without an answer after
	// which a receiver counts as silent. By then the view is too old to be used. The number keeps a
	// balancer that was suspended itself from replacing voters that answer.
	silentAfter   = time.Second
	silentReports = 4
)

// voterKey is the key by which all balancers choose the same voters.
var voterKey = xxhash.Sum64String("zoneload")

// voters denotes the voters where a receiver is named; no address has this form.
const voters = "voters"

// unansweredReports are the reports to a receiver since its last answer.
type unansweredReports struct {
	since time.Time
	count int
}

// Schedule is the schedule of the reports of one balancer.
type Schedule struct {
	// silence is the time without reports after a change of receiver.
	silence time.Duration
	parent  string
	voters  []string
	// holder is the receiver that got the last report: a parent, or voters. lostAt is when another
	// receiver took its place, or zero.
	holder string
	lostAt time.Time
	// sent are the figures of the last report.
	sent       map[key]float64
	lastSent   time.Time
	unanswered map[string]unansweredReports
	// lastProbe is when a report was last sent to a silent voter in order to learn whether it
	// answers again, nextProbe the position of the next one among the silent voters.
	lastProbe time.Time
	nextProbe int
}

type key struct{ service, zone string }

// New returns the schedule of a balancer that starts now. A receiver drops a report when it is
// lifetime old. The first report is sent a little later than that, because a receiver may still have a
// report of an earlier process.
func New(now time.Time, lifetime time.Duration) *Schedule {
	return &Schedule{silence: lifetime + silenceMargin, lostAt: now, unanswered: map[string]unansweredReports{}}
}

// SetReceivers sets the parent, or "" if there is none, and the voters that answer polls.
func (s *Schedule) SetReceivers(now time.Time, parent string, answering []string) {
	s.parent, s.voters = parent, slices.Sorted(slices.Values(answering))
	for a := range s.unanswered {
		if a != parent && !slices.Contains(s.voters, a) {
			delete(s.unanswered, a)
		}
	}
	if s.receiver() == s.holder && s.holder != "" {
		s.lostAt = time.Time{}
	} else if s.lostAt.IsZero() {
		s.lostAt = now
	}
}

// Parent returns the parent, or "".
func (s *Schedule) Parent() string { return s.parent }

// receiver returns the parent, voters, or "" if there is no receiver.
func (s *Schedule) receiver() string {
	switch {
	case s.parent != "":
		return s.parent
	case len(s.voters) > 0:
		return voters
	default:
		return ""
	}
}

// RecordAnswer records that a receiver answered a report.
func (s *Schedule) RecordAnswer(from string) { delete(s.unanswered, from) }

// Next returns when Due must be called again.
func (s *Schedule) Next(now time.Time) time.Time {
	next := now.Add(s.interval())
	if idle := s.lastSent.Add(IdleInterval); idle.After(now) && idle.Before(next) {
		return idle
	}
	return next
}

// interval returns the time between two reports while the load changes.
func (s *Schedule) interval() time.Duration {
	if s.parent == "" {
		return RootInterval
	}
	return FollowerInterval
}

// Due returns the receivers to which a report with the given load is to be sent now, and records
// the report as sent.
func (s *Schedule) Due(now time.Time, load []report.Service) []string {
	receiver := s.receiver()
	if receiver == "" || receiver != s.holder && now.Sub(s.lostAt) < s.silence {
		return nil
	}
	to := s.receivers(now)
	since := now.Sub(s.lastSent)
	current := figures(load)
	if since < IdleInterval {
		answered := slices.ContainsFunc(to, func(a string) bool { return !s.silent(now, a) })
		if since < s.interval() || !answered || !s.changed(current) {
			return nil
		}
	}
	s.holder, s.lostAt, s.lastSent, s.sent = receiver, time.Time{}, now, current
	if a := s.probe(now, to); a != "" {
		to = append(slices.Clone(to), a)
	}
	for _, a := range to {
		u := s.unanswered[a]
		if u.count == 0 {
			u.since = now
		}
		u.count++
		s.unanswered[a] = u
	}
	return to
}

// receivers returns the parent or the voters in use: the first by rendezvous hash of those that
// answer, and silent ones only if there are too few others.
func (s *Schedule) receivers(now time.Time) []string {
	if s.parent != "" {
		return []string{s.parent}
	}
	var answering, silent []string
	for _, a := range s.voters {
		if s.silent(now, a) {
			silent = append(silent, a)
		} else {
			answering = append(answering, a)
		}
	}
	out := rendezvous.New(answering).First(voterKey, votersUsed)
	return append(slices.Clip(out), rendezvous.New(silent).First(voterKey, votersUsed-len(out))...)
}

// probe returns a silent voter outside of the given receivers that is to get a report too, or "".
// Without it, a voter that was suspended or is of an older build would never be used again. One
// voter at a time, in turn, costs little even if no voter answers.
func (s *Schedule) probe(now time.Time, to []string) string {
	if s.parent != "" || now.Sub(s.lastProbe) < IdleInterval {
		return ""
	}
	var silent []string
	for _, a := range s.voters {
		if s.silent(now, a) && !slices.Contains(to, a) {
			silent = append(silent, a)
		}
	}
	if len(silent) == 0 {
		return ""
	}
	s.lastProbe = now
	s.nextProbe++
	return silent[s.nextProbe%len(silent)]
}

func (s *Schedule) silent(now time.Time, receiver string) bool {
	u := s.unanswered[receiver]
	return u.count >= silentReports && now.Sub(u.since) >= silentAfter
}

// changed reports whether a figure differs from the last report by more than minSlots and by more
// than minShare.
func (s *Schedule) changed(current map[key]float64) bool {
	for k, n := range current {
		if differs(s.sent[k], n) {
			return true
		}
	}
	for k, n := range s.sent {
		if _, known := current[k]; !known && differs(n, 0) {
			return true
		}
	}
	return false
}

func differs(last, current float64) bool {
	d := math.Abs(current - last)
	return d > minSlots && d > minShare*last
}

// figures returns the occupied slots by service and zone.
func figures(load []report.Service) map[key]float64 {
	out := map[key]float64{}
	for _, x := range load {
		for zone, n := range x.Occupied {
			out[key{x.Name, zone}] = n
		}
	}
	return out
}
