package selection_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/selection"
	"wasabideal/internal/fanout/tree"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	shape = tree.Shape{Roots: 4, Fanout: 4}
)

const (
	voters     = 5
	staleAfter = 2 * time.Second
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func zone(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.1.0.%d:7720", i+1)
	}
	return out
}

// firstLevelBalancer returns a balancer of a zone on level 1 of the tree.
func firstLevelBalancer(t *testing.T, all []string) string {
	for _, a := range all {
		if shape.PlaceOf(a, all).Level == 1 {
			return a
		}
	}
	require.Fail(t, "no balancer on level 1")
	return ""
}

// newChild returns the selection of a level 1 balancer whose startup period is over, and its
// candidates.
func newChild(t *testing.T) (*selection.Selection, []string) {
	all := zone(20)
	self := firstLevelBalancer(t, all)
	s := selection.New(selection.Settings{Self: self, Shape: shape, StaleAfter: staleAfter})
	s.UpdateVoters(epoch, voters, voters)
	s.UpdateZone(epoch.Add(-time.Minute), all)
	return s, shape.PlaceOf(self, all).Candidates
}

// newFollowing returns a selection that follows its first candidate.
func newFollowing(t *testing.T) (*selection.Selection, []string) {
	s, c := newChild(t)
	s.RecordResponse(epoch, c[0], voters)
	require.Equal(t, selection.Sources{Parents: c[:1]}, s.Decide(epoch))
	s.UpdateVoters(epoch, 0, voters)
	return s, c
}

func TestVotersAreFollowedUntilParentAnswers(t *testing.T) {
	s, c := newChild(t)
	require.Equal(t, selection.Sources{Voters: true, Parents: c[:1]}, s.Decide(epoch))
	s.RecordResponse(epoch, c[0], 0)
	require.Equal(t, c[1:2], s.Decide(epoch).Parents, "a balancer without a fresh voter is no parent")
	s.RecordResponse(epoch, c[1], voters)
	require.Equal(t, selection.Sources{Parents: c[1:2]}, s.Decide(epoch))
	change, changed := s.TakeChange()
	require.True(t, changed)
	require.Equal(t, selection.Change{Parent: c[1], Reason: selection.Joined}, change)
}

func TestVotersAreFollowedDuringStartup(t *testing.T) {
	all := zone(20)
	s := selection.New(selection.Settings{Self: firstLevelBalancer(t, all), Shape: shape, StaleAfter: staleAfter})
	s.UpdateZone(epoch, all)
	require.Equal(t, selection.Sources{Voters: true, VoterSubset: true, SingleVoter: true}, s.Decide(at(300*time.Millisecond)))
	require.NotEmpty(t, s.Decide(at(time.Second)).Parents)
	require.True(t, s.Decide(at(time.Second)).VoterSubset)
}

// A balancer found no parent and polled a single voter until it had a parent. The voter owned
// only the upstreams of one zone, so the balancer knew a fifth of the upstreams four seconds after
// its start.
func TestAllVotersArePolledWithoutParent(t *testing.T) {
	all := zone(20)
	s := selection.New(selection.Settings{Self: firstLevelBalancer(t, all), Shape: shape, StaleAfter: staleAfter})
	s.UpdateZone(epoch, all)
	require.False(t, s.Decide(at(3*time.Second)).VoterSubset)
}

// Guards against balancers that poll all voters because they start before the voters know the zone: by a
// list of a few balancers, each of these is at the top.
func TestStartupCountsFromTheFirstList(t *testing.T) {
	all := zone(20)
	s := selection.New(selection.Settings{Self: firstLevelBalancer(t, all), Shape: shape, StaleAfter: staleAfter})
	require.True(t, s.Decide(at(2*time.Second)).SingleVoter)
	s.UpdateZone(at(2*time.Second), []string{firstLevelBalancer(t, all)})
	require.Equal(t, 0, s.Level())
	require.Equal(t, selection.Sources{Voters: true, VoterSubset: true}, s.Decide(at(2300*time.Millisecond)))
	s.UpdateZone(at(2400*time.Millisecond), all)
	require.True(t, s.Decide(at(2400*time.Millisecond)).SingleVoter)
	require.True(t, s.Decide(at(4400*time.Millisecond)).VoterSubset)
	require.False(t, s.Decide(at(4600*time.Millisecond)).VoterSubset)
}

func TestSmallZonesFollowVotersOnly(t *testing.T) {
	all := zone(4)
	for _, self := range all {
		s := selection.New(selection.Settings{Self: self, Shape: shape, StaleAfter: staleAfter})
		s.UpdateVoters(epoch, voters, voters)
		s.UpdateZone(epoch.Add(-time.Minute), all)
		require.Equal(t, selection.Sources{Voters: true}, s.Decide(epoch))
	}
}

// A parent lost power, and so did the next candidate. Candidates were polled one after the other,
// each for its full timeout, so followers received no change for seconds.
func TestFailedParentIsReplacedByCandidatesThenVoters(t *testing.T) {
	s, c := newFollowing(t)
	s.RecordFailure(epoch, c[0])
	require.Equal(t, selection.Sources{Parents: c[1:3]}, s.Decide(epoch))
	later := at(400 * time.Millisecond)
	require.Equal(t, selection.Sources{Voters: true, VoterSubset: true, Parents: c[1:2]}, s.Decide(later))
	s.RecordResponse(later, c[1], voters)
	require.Equal(t, selection.Sources{Parents: c[1:2]}, s.Decide(later))
}

// A balancer stopped, and each of its followers connected to all voters. The voters received a
// burst of connections.
func TestOrphanPollsVoterSubsetFirst(t *testing.T) {
	s, c := newFollowing(t)
	s.RecordFailure(epoch, c[0])
	s.RecordFailure(at(400*time.Millisecond), c[1])
	require.True(t, s.Decide(at(500*time.Millisecond)).Voters)
	require.True(t, s.Decide(at(500*time.Millisecond)).VoterSubset)
	require.False(t, s.Decide(at(500*time.Millisecond)).SingleVoter, "a single voter may be cut off from the others")
	require.True(t, s.Decide(at(2*time.Second)).VoterSubset)
	require.Equal(t, selection.Sources{Voters: true, Parents: c[2:3]}, s.Decide(at(3*time.Second)), "no parent answers")
}

func TestAllCandidatesFailed(t *testing.T) {
	s, c := newFollowing(t)
	for _, x := range c {
		s.RecordFailure(epoch, x)
	}
	require.Equal(t, selection.Sources{Voters: true}, s.Decide(epoch), "immediately if no candidate is left")
	require.Equal(t, c[:1], s.Decide(at(6*time.Second)).Parents, "failed candidates are retried")
}

// A parent is cut off from the voters but still answers. It was replaced only once it did not
// answer, so departures arrived late.
func TestParentWithFewerFreshVotersIsReplaced(t *testing.T) {
	s, c := newFollowing(t)
	s.RecordResponse(epoch, c[0], 1)
	require.Equal(t, c[:1], s.Decide(at(staleAfter/5)).Parents)
	later := at(staleAfter/5 + 10*time.Millisecond)
	s.RecordResponse(later, c[0], 1)
	require.Equal(t, c[:2], s.Decide(later).Parents, "the parent is polled until a candidate has more fresh voters")
	s.RecordResponse(later, c[1], voters)
	require.Equal(t, selection.Sources{Parents: c[1:2]}, s.Decide(later))
}

// A zone is cut off, or all voters are down, and every candidate has equally few fresh voters. A
// stale parent was replaced regardless. All balancers of the zone polled the unreachable voters,
// and reached them all at once on recovery.
func TestParentIsKeptIfNoCandidateHasMoreFreshVoters(t *testing.T) {
	s, c := newFollowing(t)
	polled := 0
	for d := time.Duration(0); d < time.Minute; d += 100 * time.Millisecond {
		s.UpdateVoters(at(d), 0, voters)
		s.EvaluateProbe(at(d))
		sources := s.Decide(at(d))
		require.Equal(t, c[0], sources.Parents[0])
		for _, p := range sources.Parents {
			s.RecordResponse(at(d), p, 1)
		}
		if sources.Voters {
			polled++
		}
	}
	require.Equal(t, c[0], s.Parent())
	require.Less(t, polled, 300, "voters are polled less than half of the time")
	require.NotZero(t, polled)
}

func TestReachableVotersReplaceStaleParents(t *testing.T) {
	s, c := newFollowing(t)
	for d := time.Duration(0); s.Parent() != "" && d < 20*time.Second; d += 100 * time.Millisecond {
		sources := s.Decide(at(d))
		for _, p := range sources.Parents {
			s.RecordResponse(at(d), p, 1)
		}
		answering := 0
		if sources.Voters {
			answering = voters
		}
		s.UpdateVoters(at(d), answering, voters)
		s.EvaluateProbe(at(d))
	}
	require.Empty(t, s.Parent())
	require.True(t, s.Decide(at(20*time.Second)).Voters)
	require.NotContains(t, c, s.Parent())
}

// A root was cut off from the voters only, and polled no other source. It sent flows to departed
// upstreams although other balancers of its zone had received the departures.
func TestIsolatedRootPollsAnotherRoot(t *testing.T) {
	all := zone(20)
	var self string
	for _, a := range all {
		if p := shape.PlaceOf(a, all); p.Level == 0 && len(p.Candidates) > 0 {
			self = a
		}
	}
	s := selection.New(selection.Settings{Self: self, Shape: shape, StaleAfter: staleAfter})
	s.UpdateVoters(epoch, voters, voters)
	s.UpdateZone(epoch.Add(-time.Minute), all)
	require.Equal(t, selection.Sources{Voters: true}, s.Decide(epoch))
	s.UpdateVoters(epoch, 0, voters)
	sources := s.Decide(at(staleAfter + time.Millisecond))
	require.True(t, sources.Voters)
	require.Len(t, sources.Parents, 1)
	s.RecordResponse(at(staleAfter+time.Millisecond), sources.Parents[0], voters)
	require.Empty(t, s.Parent(), "the balancer remains a root")
	require.Equal(t, sources, s.Decide(at(staleAfter+2*time.Millisecond)), "and keeps polling")
}

func TestBalancerThatBecomesRootFollowsVoters(t *testing.T) {
	s, _ := newFollowing(t)
	s.UpdateZone(epoch, nil)
	require.Equal(t, selection.Sources{Voters: true}, s.Decide(epoch))
	change, _ := s.TakeChange()
	require.Equal(t, selection.Root, change.Reason)
}

func TestParentThatIsNoLongerCandidateIsReplaced(t *testing.T) {
	s, c := newFollowing(t)
	remaining := []string{}
	for _, a := range zone(20) {
		if a != c[0] {
			remaining = append(remaining, a)
		}
	}
	s.UpdateZone(epoch, remaining)
	sources := s.Decide(epoch)
	require.Len(t, sources.Parents, 2)
	require.Equal(t, c[0], sources.Parents[0])
	s.RecordResponse(epoch, sources.Parents[1], voters)
	require.Equal(t, sources.Parents[1], s.Parent())
}

// A parent was cut off from the voters but answered, and all other candidates were full. The
// balancer waited until the parent's state had been stale for StaleAfter, which is half of the
// bound, and polled the voters up to five seconds later. It placed a flow by a configuration
// replaced 6.2 s earlier, although 5 s are allowed and it could reach all voters.
func TestIsolatedParentIsReplacedWithinBound(t *testing.T) {
	const bound = 2 * staleAfter
	for _, jitter := range []float64{0, 0.5, 1} {
		all := zone(20)
		self := firstLevelBalancer(t, all)
		s := selection.New(selection.Settings{Self: self, Shape: shape, StaleAfter: staleAfter, Jitter: jitter})
		s.UpdateVoters(epoch, 0, voters)
		s.UpdateZone(epoch, all)
		candidates := shape.PlaceOf(self, all).Candidates
		s.RecordResponse(epoch, candidates[0], voters)
		replacedAfter := time.Duration(0)
		for now := staleAfter; replacedAfter == 0 && now < 10*bound; now += 10 * time.Millisecond {
			// The parent's last contact with the voters is older than StaleAfter.
			s.RecordResponse(at(now), candidates[0], 0)
			sources := s.Decide(at(now))
			for _, c := range sources.Parents[1:] {
				s.RecordFailure(at(now), c)
			}
			if sources.Voters {
				s.UpdateVoters(at(now), voters, voters)
				s.EvaluateProbe(at(now))
			}
			if s.Parent() != candidates[0] {
				replacedAfter = now
			}
		}
		require.NotZero(t, replacedAfter, "the parent is replaced eventually")
		require.Less(t, replacedAfter, bound*9/10, "the rest of the bound is for the configuration, jitter %g", jitter)
	}
}
