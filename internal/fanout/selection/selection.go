package selection

import (
	"slices"
	"time"

	"wasabideal/internal/fanout/tree"
)

const (
	// startupPeriod is how long a balancer always follows the voters after it has received the first
	// list of its zone. The voters send it the complete state, and voters that started with it know
	// most balancers by then.
	// With 2 s, most of the voters' load during a rolling restart came from the restarted
	// balancers, which received each change directly from the voters.
	startupPeriod = 500 * time.Millisecond
	// voterSubsetPeriod is how long one voter is enough after a start, and a subset of the voters
	// after a parent failed. It must be shorter than the four seconds for which a voter's
	// restored notices, on upstreams that other voters own, remain valid. If all voters were
	// polled at once, all followers of a stopping balancer would connect to each voter.
	voterSubsetPeriod = 2500 * time.Millisecond
	// avoidPeriod is how long a balancer is not polled again after it failed, or after it proved
	// no better than the current source.
	avoidPeriod = 5 * time.Second
	// candidateTimeout is how long candidates have to replace a failed parent before the voters
	// are polled as well. A connection and a response take some milliseconds.
	candidateTimeout = 300 * time.Millisecond
	// degradedFraction is the fraction of StaleAfter for which a parent may have too few fresh
	// voters before other sources are polled. The parent's state is already StaleAfter old by
	// then, which is half of the bound on configurations and departures. With a fraction of 1, a
	// balancer whose parent was cut off placed a flow by a configuration replaced 6.2 s before,
	// although 5 s are allowed. A voter that restarts answers again within this time.
	degradedFraction = 0.2
	// firstProbeFraction is the fraction of StaleAfter over which the first probes of the voters
	// are spread, so that the balancers of a zone do not poll them all at once.
	firstProbeFraction = 0.4
	// probeInterval is the time between two probes of the voters while the parent is degraded,
	// and probeDuration is the length of each probe. Each balancer adds up to one more interval
	// of jitter, so that not all balancers poll recovered voters at once.
	probeInterval = 3 * time.Second
	probeDuration = 1200 * time.Millisecond
)

// Settings configures a selection.
type Settings struct {
	// Self is the RPC address of the balancer.
	Self  string
	Shape tree.Shape
	// StaleAfter is the maximum age of a voter's state that still counts as fresh.
	StaleAfter time.Duration
	// Jitter is a value between 0 and 1 that differs between balancers.
	Jitter float64
}

// Sources are the processes that a balancer polls.
type Sources struct {
	// Voters selects the voters. VoterSubset limits them to a few while a parent is expected
	// soon, and SingleVoter to one after the balancer's start.
	Voters, VoterSubset, SingleVoter bool
	// Parents are the polled balancers, the current parent first.
	Parents []string
}

// Reason is why a balancer changed its parent.
type Reason string

// Reasons as they appear in the log. The values are fixed, since operators search for them.
// FewerFreshVoters means that fewer voters are fresh at the parent ("hears fewer") than at a
// candidate, or than answer this balancer directly. Moved means that the balancer's position in
// the tree changed, and Root that it is now on level 0.
const (
	Joined           Reason = "candidate answers"
	Failed           Reason = "parent does not answer"
	FewerFreshVoters Reason = "parent hears fewer voters"
	Moved            Reason = "place in the zone changed"
	Root             Reason = "place at the top of the zone"
)

// Change is a change of parent. An empty Parent means that the balancer follows the voters.
type Change struct {
	Parent string
	Reason Reason
}

// Selection is the parent selection of one balancer.
type Selection struct {
	settings Settings
	// startupUntil is when startupPeriod ends, zero before the first list of the zone.
	startupUntil time.Time
	place        tree.Place
	placed       bool
	// parent is empty while the balancer follows the voters.
	parent string
	// parentFailedAt is when the last parent failed, or zero. Until voterSubsetUntil, a balancer
	// below the roots that has no parent polls at most a subset of the voters.
	parentFailedAt, voterSubsetUntil time.Time
	// freshVoters is the number of fresh voters at each polled balancer; the key "" holds how many
	// voters answer this balancer directly.
	freshVoters map[string]int
	// degradedSince is when the number of fresh voters at the parent fell below the quorum, or
	// zero. Without a parent, the voters that answer directly are counted instead.
	degradedSince time.Time
	// avoidedUntil holds when each avoided balancer may be polled again.
	avoidedUntil map[string]time.Time
	// quorum is a majority of the voters.
	quorum int
	// change is the last change of the parent until TakeChange returns it, else nil.
	change *Change
}

// New returns a selection that follows the voters at first.
func New(s Settings) *Selection {
	return &Selection{settings: s, freshVoters: map[string]int{}, avoidedUntil: map[string]time.Time{}, quorum: 1}
}

// UpdateZone sets the RPC addresses of the zone's balancers.
func (s *Selection) UpdateZone(now time.Time, zone []string) {
	if !s.placed {
		s.startupUntil, s.voterSubsetUntil = now.Add(startupPeriod), now.Add(voterSubsetPeriod)
	}
	s.place, s.placed = s.settings.Shape.PlaceOf(s.settings.Self, zone), true
	if s.place.Level == 0 && s.parent != "" {
		s.setParent(now, "", Root)
	}
}

// Level returns the balancer's level in the tree.
func (s *Selection) Level() int { return s.place.Level }

// Parent returns the current parent, empty while the balancer follows the voters.
func (s *Selection) Parent() string { return s.parent }

// TakeChange returns and clears the last change.
func (s *Selection) TakeChange() (Change, bool) {
	c := s.change
	s.change = nil
	if c == nil {
		return Change{}, false
	}
	return *c, true
}

// UpdateVoters records how many voters answer this balancer, and how many there are.
func (s *Selection) UpdateVoters(now time.Time, answering, all int) {
	s.quorum = all/2 + 1
	s.freshVoters[""] = answering
	if s.parent == "" {
		s.trackDegradation(now, answering)
	}
}

// trackDegradation updates degradedSince by the number of fresh voters.
func (s *Selection) trackDegradation(now time.Time, fresh int) {
	if fresh >= s.quorum {
		s.degradedSince = time.Time{}
	} else if s.degradedSince.IsZero() {
		s.degradedSince = now
	}
}

// RecordResponse records a response of another balancer and its number of fresh voters.
func (s *Selection) RecordResponse(now time.Time, from string, fresh int) {
	s.freshVoters[from] = fresh
	switch {
	case from == s.parent:
		s.trackDegradation(now, fresh)
	case s.place.Level == 0 || !slices.Contains(s.place.Candidates, from):
	case s.parent == "" && (fresh >= s.quorum || fresh > 0 && fresh >= s.freshVoters[""]):
		s.setParent(now, from, Joined)
	case s.parent == "":
		s.avoid(now, from)
	case s.misplaced() && fresh >= min(s.freshVoters[s.parent], s.quorum):
		s.setParent(now, from, Moved)
	case fresh > s.freshVoters[s.parent]:
		s.setParent(now, from, FewerFreshVoters)
	default:
		s.avoid(now, from)
	}
}

// RecordFailure records that a balancer did not answer or rejected the poll.
func (s *Selection) RecordFailure(now time.Time, from string) {
	delete(s.freshVoters, from)
	s.avoid(now, from)
	if from == s.parent {
		s.parentFailedAt, s.voterSubsetUntil = now, now.Add(voterSubsetPeriod)
		s.setParent(now, "", Failed)
	}
}

func (s *Selection) avoid(now time.Time, address string) {
	s.avoidedUntil[address] = now.Add(avoidPeriod)
}

func (s *Selection) setParent(now time.Time, parent string, reason Reason) {
	s.parent, s.degradedSince = parent, time.Time{}
	s.change = &Change{Parent: parent, Reason: reason}
	s.trackDegradation(now, s.freshVoters[parent])
}

// misplaced reports whether the balancer has a parent that is not a candidate of its current
// place.
func (s *Selection) misplaced() bool {
	return s.parent != "" && !slices.Contains(s.place.Candidates, s.parent)
}

// isDegradedTooLong reports whether the current source has been degraded for too long. The source is
// the parent, or the voters if there is no parent.
func (s *Selection) isDegradedTooLong(now time.Time) bool {
	return !s.degradedSince.IsZero() && now.Sub(s.degradedSince) > s.fractionOfStaleAfter(degradedFraction)
}

// fractionOfStaleAfter returns a fraction of StaleAfter.
func (s *Selection) fractionOfStaleAfter(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.settings.StaleAfter))
}

// Decide returns the sources to poll now.
func (s *Selection) Decide(now time.Time) Sources {
	s.expireAvoided(now)
	switch {
	case !s.placed || now.Before(s.startupUntil):
		// The first list may be short, and a balancer at the top by such a list only. All of them
		// together would poll each voter.
		return Sources{Voters: true, VoterSubset: true, SingleVoter: !s.placed || s.place.Level > 0}
	case s.place.Level == 0:
		return s.rootSources(now)
	case s.parent == "":
		return s.orphanSources(now)
	case s.misplaced():
		return Sources{Parents: append([]string{s.parent}, s.candidates(now, 1)...)}
	case s.isDegradedTooLong(now):
		return Sources{Voters: s.probeDue(now), Parents: append([]string{s.parent}, s.candidates(now, 1)...)}
	default:
		return Sources{Parents: []string{s.parent}}
	}
}

// rootSources returns the sources of a root: the voters, and another root once fewer than a
// quorum of voters have answered directly for too long.
func (s *Selection) rootSources(now time.Time) Sources {
	out := Sources{Voters: true}
	if s.isDegradedTooLong(now) {
		out.Parents = s.candidates(now, 1)
	}
	return out
}

// orphanSources returns the sources of a balancer without a parent.
func (s *Selection) orphanSources(now time.Time) Sources {
	if s.parentFailedAt.IsZero() || now.Sub(s.parentFailedAt) >= candidateTimeout {
		subset := now.Before(s.voterSubsetUntil)
		return Sources{Voters: true, VoterSubset: subset, SingleVoter: subset && s.parentFailedAt.IsZero(), Parents: s.candidates(now, 1)}
	}
	out := Sources{Parents: s.candidates(now, 2)}
	out.Voters = len(out.Parents) == 0
	return out
}

// probeDue reports whether the voters are to be polled while the balancer still follows a
// degraded parent. The probe shows whether more voters answer directly than are fresh at the
// parent.
func (s *Selection) probeDue(now time.Time) bool {
	since := now.Sub(s.degradedSince) - s.fractionOfStaleAfter(degradedFraction) - s.fractionOfStaleAfter(firstProbeFraction*s.settings.Jitter)
	interval := probeInterval + time.Duration(s.settings.Jitter*float64(probeInterval))
	return since >= 0 && since%interval < probeDuration
}

// EvaluateProbe replaces a degraded parent by the voters if more voters answer directly than are
// fresh at the parent.
func (s *Selection) EvaluateProbe(now time.Time) {
	if s.parent != "" && s.isDegradedTooLong(now) && s.freshVoters[""] > s.freshVoters[s.parent] {
		s.avoid(now, s.parent)
		s.parentFailedAt, s.voterSubsetUntil = now.Add(-candidateTimeout), time.Time{}
		s.setParent(now, "", FewerFreshVoters)
	}
}

func (s *Selection) candidates(now time.Time, limit int) []string {
	var out []string
	for _, c := range s.place.Candidates {
		if c != s.parent && len(out) < limit && !now.Before(s.avoidedUntil[c]) {
			out = append(out, c)
		}
	}
	return out
}

func (s *Selection) expireAvoided(now time.Time) {
	for a, until := range s.avoidedUntil {
		if !now.Before(until) {
			delete(s.avoidedUntil, a)
		}
	}
}
