package selection

import (
	"slices"
	"time"

	"wasabideal/internal/fanout/tree"
)

const (
	// settleFor is how long after its start a balancer follows the voters in any case:
	// they tell it all it needs, and voters that started with it have heard of most
	// balancers by then. With 2 s the balancers of a fleet that restarted in turn, which
	// were told each change meanwhile, were most of the voters' work.
	startupPeriod = 500 * time.Millisecond
	// fewFor is how long one voter suffices after a start, and some after the parent failed:
	// what one says of upstreams that others hear holds for four seconds. All followers of a
	// balancer that stops would otherwise connect to all voters at once.
	voterSubsetPeriod = 2500 * time.Millisecond
	// avoidFor is how long a balancer that failed is not asked again.
	avoidPeriod = 5 * time.Second
	// raceFor is how long candidates have before the voters are asked instead of a parent
	// that failed: a connection and an answer take some ms.
	candidateTimeout = 300 * time.Millisecond
	// poorShare is the part of StaleAfter for which a parent may hear few voters before
	// others are asked. What it passes on is StaleAfter old then already, half of the bound
	// on configurations and departures; waiting as long again, a balancer whose parent was
	// cut off from the voters placed a flow 6.2 s after a change, where 5 are allowed. A
	// voter that restarts is back within it.
	degradedFraction = 0.2
	// firstProbeShare is the part of StaleAfter over which the first looks at the voters are
	// spread, so that a zone does not ask them all at once.
	firstProbeFraction = 0.4
	// probeEvery is the time between two looks at other sources while a parent hears few
	// voters, and probeFor how long the voters are asked each time. Each balancer adds up
	// to as much again by its address, so that they do not all ask voters that are back.
	probeInterval = 3 * time.Second
	probeDuration = 1200 * time.Millisecond
)

// Settings of a selection.
type Settings struct {
	// Self is the call address of the balancer.
	Self  string
	Shape tree.Shape
	// StaleAfter is how old what is heard of most voters may become.
	StaleAfter time.Duration
	// Jitter between 0 and 1 differs between balancers.
	Jitter float64
}

// Sources are whom a balancer is to ask.
type Sources struct {
	// Voters says that voters are asked, Few that some of them suffice, since the balancer is
	// about to follow another one, and One that one of those does, since it has just started.
	Voters, VoterSubset, SingleVoter bool
	// Parents are the balancers that are asked, the one that is followed first.
	Parents []string
}

// Reason says why a balancer changed whom it follows.
type Reason string

// The reasons.
const (
	Joined Reason = "candidate answers"
	Failed Reason = "parent does not answer"
	Stale  Reason = "parent hears fewer voters"
	Moved  Reason = "place in the zone changed"
	Root   Reason = "place at the top of the zone"
)

// Change is a change of whom a balancer follows; no parent means the voters.
type Change struct {
	Parent string
	Reason Reason
}

// Selection is the state of one balancer's choice.
type Selection struct {
	settings Settings
	started  time.Time
	place    tree.Place
	placed   bool
	// parent is who is followed, empty while the voters are.
	parent string
	// lost is when the last parent failed, zero before the first one; fewUntil is until when
	// some voters suffice in its place.
	parentFailedAt, voterSubsetUntil time.Time
	// heard is how many voters each source hears, that of the voters under "".
	freshVoters map[string]int
	// poor is since when too few voters were heard, zero while enough are.
	degradedSince time.Time
	// avoided is until when a balancer is not asked.
	avoidedUntil map[string]time.Time
	// enough is a majority of the voters.
	quorum int
	change *Change
}

// New returns a selection that begins with the voters.
func New(s Settings, now time.Time) *Selection {
	return &Selection{settings: s, started: now, voterSubsetUntil: now.Add(voterSubsetPeriod), freshVoters: map[string]int{}, avoidedUntil: map[string]time.Time{}, quorum: 1}
}

// Fleet takes the call addresses of the zone's balancers.
func (s *Selection) UpdateZone(now time.Time, zone []string) {
	s.place, s.placed = s.settings.Shape.Of(s.settings.Self, zone), true
	if s.place.Level == 0 && s.parent != "" {
		s.setParent(now, "", Root)
	}
}

// Level is the balancer's level in the tree.
func (s *Selection) Level() int { return s.place.Level }

// Parent is who is followed, empty for the voters.
func (s *Selection) Parent() string { return s.parent }

// Changed returns the last change once.
func (s *Selection) TakeChange() (Change, bool) {
	c := s.change
	s.change = nil
	if c == nil {
		return Change{}, false
	}
	return *c, true
}

// Voters notes how many of how many voters answer here.
func (s *Selection) UpdateVoters(now time.Time, answering, all int) {
	s.quorum = all/2 + 1
	s.freshVoters[""] = answering
	if s.parent == "" {
		s.trackDegradation(now, answering)
	}
}

// measure notes since when the source that is followed hears few voters.
func (s *Selection) trackDegradation(now time.Time, heard int) {
	if heard >= s.quorum {
		s.degradedSince = time.Time{}
	} else if s.degradedSince.IsZero() {
		s.degradedSince = now
	}
}

// Answered notes an answer of another balancer, with how many voters it has heard lately.
func (s *Selection) RecordAnswer(now time.Time, from string, heard int) {
	s.freshVoters[from] = heard
	switch {
	case from == s.parent:
		s.trackDegradation(now, heard)
	case s.place.Level == 0 || !slices.Contains(s.place.Candidates, from):
	case s.parent == "" && (heard >= s.quorum || heard > 0 && heard >= s.freshVoters[""]):
		s.setParent(now, from, Joined)
	case s.parent == "":
		s.avoid(now, from)
	case s.misplaced() && heard >= min(s.freshVoters[s.parent], s.quorum):
		s.setParent(now, from, Moved)
	case heard > s.freshVoters[s.parent]:
		s.setParent(now, from, Stale)
	default:
		s.avoid(now, from)
	}
}

// Failed notes that a balancer did not answer, or refused.
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

func (s *Selection) setParent(now time.Time, parent string, why Reason) {
	s.parent, s.degradedSince = parent, time.Time{}
	s.change = &Change{Parent: parent, Reason: why}
	s.trackDegradation(now, s.freshVoters[parent])
}

// misplaced says that the parent is none of the candidates any more.
func (s *Selection) misplaced() bool {
	return s.parent != "" && !slices.Contains(s.place.Candidates, s.parent)
}

func (s *Selection) isStale(now time.Time) bool {
	return !s.degradedSince.IsZero() && now.Sub(s.degradedSince) > s.fractionOfStaleAfter(degradedFraction)
}

// part returns a part of StaleAfter.
func (s *Selection) fractionOfStaleAfter(share float64) time.Duration {
	return time.Duration(share * float64(s.settings.StaleAfter))
}

// Decide returns whom to ask now.
func (s *Selection) Decide(now time.Time) Sources {
	s.expireAvoided(now)
	switch {
	case !s.placed || now.Sub(s.started) < startupPeriod:
		few := !s.placed || s.place.Level > 0
		return Sources{Voters: true, VoterSubset: few, SingleVoter: few}
	case s.place.Level == 0:
		return s.rootSources(now)
	case s.parent == "":
		return s.orphanSources(now)
	case s.misplaced():
		return Sources{Parents: append([]string{s.parent}, s.candidates(now, 1)...)}
	case s.isStale(now):
		return Sources{Voters: s.probeDue(now), Parents: append([]string{s.parent}, s.candidates(now, 1)...)}
	default:
		return Sources{Parents: []string{s.parent}}
	}
}

// root asks the voters, and another root beside where most of them do not answer here.
func (s *Selection) rootSources(now time.Time) Sources {
	out := Sources{Voters: true}
	if s.isStale(now) {
		out.Parents = s.candidates(now, 1)
	}
	return out
}

// orphan looks for a parent.
func (s *Selection) orphanSources(now time.Time) Sources {
	if s.parentFailedAt.IsZero() || now.Sub(s.parentFailedAt) >= candidateTimeout {
		few := now.Before(s.voterSubsetUntil)
		return Sources{Voters: true, VoterSubset: few, SingleVoter: few && s.parentFailedAt.IsZero(), Parents: s.candidates(now, 1)}
	}
	out := Sources{Parents: s.candidates(now, 2)}
	out.Voters = len(out.Parents) == 0
	return out
}

// probes says that the voters are asked for a moment, to see whether more of them answer
// here than the parent hears. Where they do, the parent is left.
func (s *Selection) probeDue(now time.Time) bool {
	since := now.Sub(s.degradedSince) - s.fractionOfStaleAfter(degradedFraction) - s.fractionOfStaleAfter(firstProbeFraction*s.settings.Jitter)
	every := probeInterval + time.Duration(s.settings.Jitter*float64(probeInterval))
	return since >= 0 && since%every < probeDuration
}

// Probed compares the voters that answer here with what the parent hears.
func (s *Selection) EvaluateProbe(now time.Time) {
	if s.parent != "" && s.isStale(now) && s.freshVoters[""] > s.freshVoters[s.parent] {
		s.avoid(now, s.parent)
		s.parentFailedAt, s.voterSubsetUntil = now.Add(-candidateTimeout), time.Time{}
		s.setParent(now, "", Stale)
	}
}

func (s *Selection) candidates(now time.Time, most int) []string {
	var out []string
	for _, c := range s.place.Candidates {
		if c != s.parent && len(out) < most && !now.Before(s.avoidedUntil[c]) {
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
