package agreement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/disk/fault"
)

// add starts a voter that is not among the founders.
func (c *cluster) add(name string) {
	n := &node{cluster: c, name: name, disk: fault.New(uint64(len(c.names)))}
	c.nodes[name] = n
	n.replaceDisk()
	c.names = append(c.names, name)
}

func votersOf(c *cluster) []string {
	var names []string
	for _, v := range c.leader().state.Status(c.now).Voters {
		if !v.Learner {
			names = append(names, v.Name)
		}
	}
	return names
}

// Each of three VMs in turn is replaced by an empty VM at another address. If the old voters
// stayed in the list, they would count towards the majority. In the end two of five voters
// would respond, and the cluster would accept no changes although two of three VMs run.
func TestUnreachableVotersAreRemoved(t *testing.T) {
	c := bootstrappedCluster(t)
	for _, step := range []struct{ removed, replacement string }{{"v1", "v4"}, {"v2", "v5"}, {"v3", "v6"}} {
		c.nodes[step.removed].crash()
		c.run(2 * time.Second)
		c.add(step.replacement)
		c.run(20 * time.Second)
		require.NotNil(t, c.leader(), "after %s", step.removed)
		require.Len(t, votersOf(c), 3)
		require.NotContains(t, votersOf(c), step.removed)
	}
	require.Equal(t, uint64(1), c.leader().ledger.Current().Revision)
}

// A voter is removed during a partition and returns. It still has the old list and
// requests votes. No other voter grants them, and the removed voter would never vote again.
func TestPartitionedVotersRejoinAfterRemoval(t *testing.T) {
	c := bootstrappedCluster(t)
	c.add("v4")
	c.add("v5")
	c.run(5 * time.Second)
	require.Len(t, votersOf(c), 5)
	lost := c.others(c.leader())[:2]
	for _, n := range lost {
		c.partitioned[n.name] = true
	}
	c.run(30 * time.Second)
	require.Len(t, votersOf(c), 3, "three voters tolerate one loss")
	clear(c.partitioned)
	c.run(10 * time.Second)
	require.Len(t, votersOf(c), 5)
}

// The leader's VM is suspended, the others elect a new leader, and the first leader
// resumes. Its clock did not advance, so its lease seems to hold, and a read that
// relied on the lease would be stale.
func TestSuspendedLeaderDoesNotConfirmReads(t *testing.T) {
	c := bootstrappedCluster(t)
	former := c.leader()
	suspendedAt := c.now
	former.up = false
	c.run(10 * time.Second)
	require.NotNil(t, c.leader())
	former.up = true
	require.True(t, former.state.HoldsLease(suspendedAt), "the lease holds by the suspended clock")
	require.False(t, former.state.ConfirmedSince(suspendedAt, suspendedAt.Add(time.Millisecond)))
	current := c.leader()
	since := c.now
	require.Eventually(t, func() bool {
		c.run(tick)
		return current.state.ConfirmedSince(c.now, since)
	}, time.Minute, time.Microsecond)
}

// All VMs restart while a zone is partitioned. Without a recorded commit index, a voter that
// restarts alone could not determine which entries are committed, and its zone would have no
// configuration.
func TestRestartedVoterRestoresCommitIndex(t *testing.T) {
	c := bootstrappedCluster(t)
	require.NoError(t, c.propose(c.leader(), "kept", 1, "b"))
	c.run(time.Second)
	for _, name := range c.names {
		n := c.nodes[name]
		n.execute([]agreement.Effect{{Persist: &agreement.Persist{Commit: n.state.Commit()}}})
		n.crash()
	}
	isolated := c.nodes["v2"]
	isolated.start()
	isolated.execute(isolated.state.Replay())
	require.Equal(t, uint64(2), isolated.ledger.Current().Revision)
	require.Nil(t, c.leader())
}

// The leader is stopped as planned. Without a leadership transfer, the others wait for
// the election timeout, a second without commits.
func TestStoppingLeaderTransfersLeadership(t *testing.T) {
	c := bootstrappedCluster(t)
	former := c.leader()
	former.execute(former.state.TransferLeadership(c.now))
	c.run(600 * time.Millisecond) // the minimum election timeout is one second
	require.NotNil(t, c.leader())
	require.NotSame(t, former, c.leader())
	require.NoError(t, c.propose(c.leader(), "next", 1, "b"))
	c.run(time.Second)
	require.Equal(t, uint64(2), former.ledger.Current().Revision, "the former leader stays a follower until it stops")
}

// A voter with a replaced disk is promoted, and the leader fails before that voter receives
// the new list. The others need the voter's vote, although its own log lists it as a
// learner. Otherwise the cluster elects no leader (soak, seed 227).
func TestPromotedVoterVotesBeforeReceivingNewList(t *testing.T) {
	c := bootstrappedCluster(t)
	leader := c.leader()
	replaced := c.others(leader)[0]
	replaced.loseDisk()
	promoted := func() bool {
		for _, v := range leader.state.Status(c.now).Voters {
			if v.Id == replaced.id && !v.Learner {
				return true
			}
		}
		return false
	}
	for end := c.now.Add(20 * time.Second); !promoted(); {
		require.True(t, c.now.Before(end))
		// Drop the messages that promote the new voter.
		before := len(c.network)
		c.run(tick)
		if promoted() {
			c.network = c.network[:min(before, len(c.network))]
			c.partitioned[replaced.name] = true
		}
	}
	c.run(time.Second)
	leader.crash()
	leader.start()
	c.network = nil
	clear(c.partitioned)
	c.run(20 * time.Second)
	require.NotNil(t, c.leader())
}

// A voter with a replaced disk becomes the leader while its former id, at the same address,
// is still in the list. The leader receives its own messages to that id, and crashed with
// "at most one leader per term" (soak, seed 211).
func TestMessageToFormerIdIsIgnored(t *testing.T) {
	c := bootstrappedCluster(t)
	leader := c.leader()
	s := leader.state.Status(c.now)
	require.NotPanics(t, func() {
		effects := leader.state.Reduce(c.now, agreement.Event{Message: &agreement.Message{
			Kind: agreement.AppendEntries, From: leader.id, To: "a former id", Term: s.Term, Index: s.Last,
		}})
		require.Empty(t, effects)
	})
	require.Equal(t, agreement.Leader, leader.state.Status(c.now).Role)
}

// A voter loses its disk, joins as a learner, and loses its disk again before it is promoted. If
// the dead learner got a vote beside its former id, the two other voters would be no majority.
func TestDiskLostAgainBeforePromotionLeavesMajority(t *testing.T) {
	for _, delay := range []time.Duration{tick, 2 * tick, 3 * tick, 4 * tick, 6 * tick, 10 * tick} {
		c := bootstrappedCluster(t)
		leader := c.leader()
		lost := c.others(leader)[0]
		lost.loseDisk()
		c.runUntil(func() bool { return c.listed(leader, lost.id) })
		c.run(delay)
		lost.loseDisk()
		c.run(12 * time.Second)
		require.NotNil(t, c.leader(), "lost again %s after it was listed", delay)
		c.requireAcceptsChange()
		require.ElementsMatch(t, c.names, votersOf(c))
	}
}

// loseDisk stops a node for a second and starts it with an empty disk.
func (n *node) loseDisk() {
	n.crash()
	n.cluster.run(time.Second)
	n.replaceDisk()
}

// requireAcceptsChange checks that the leader accepts the change after the first one.
func (c *cluster) requireAcceptsChange() {
	require.NoError(c.t, c.propose(c.leader(), "next", 1, "b"))
	c.run(time.Second)
	require.Equal(c.t, ledger.Accepted, c.results["next"].Verdict)
}

// listed reports whether an id is in the list of voters of a node, also as a learner.
func (c *cluster) listed(n *node, id string) bool {
	return lo.ContainsBy(n.state.Status(c.now).Voters, func(v agreement.Voter) bool { return v.Id == id })
}

func (c *cluster) runUntil(reached func() bool) {
	for end := c.now.Add(20 * time.Second); !reached(); c.run(tick) {
		require.True(c.t, c.now.Before(end))
	}
}

// stopAsPlanned stops a voter as a process does at SIGTERM.
func (n *node) stopAsPlanned() agreement.Leave {
	c := n.cluster
	n.execute(n.state.TransferLeadership(c.now))
	for end := c.now.Add(2 * time.Second); n.state.Leaving() == agreement.Staying && c.now.Before(end); c.run(tick) {
		n.execute(n.state.RequestLeave())
	}
	n.crash()
	return n.state.Leaving()
}

// A VM is removed as planned while its successor runs, and another VM loses its disk at once. If
// the removed voter still counted, the two others would be no majority (review/1).
func TestDiskLostRightAfterPlannedReplacementLeavesMajority(t *testing.T) {
	for _, successors := range []int{1, 2, 3} {
		for i := range 4 {
			c := bootstrappedCluster(t)
			for n := range successors {
				c.add(fmt.Sprintf("v%d", n+4))
			}
			c.run(7 * time.Second)
			removed := c.nodes[c.names[i%3]]
			require.Equal(t, agreement.Left, removed.stopAsPlanned())
			lost := c.others(removed)[i%2]
			lost.loseDisk()
			c.run(12 * time.Second)
			require.NotNil(t, c.leader())
			c.requireAcceptsChange()
		}
	}
}

// A voter without a successor is restarted as planned. If it left the list of three, the loss of
// another disk would be fatal.
func TestPlannedStopWithoutSuccessorKeepsVoter(t *testing.T) {
	c := bootstrappedCluster(t)
	for _, name := range c.names {
		stopped := c.nodes[name]
		require.Equal(t, agreement.Kept, stopped.stopAsPlanned())
		stopped.start()
		c.run(4 * time.Second)
		require.ElementsMatch(t, c.names, votersOf(c))
	}
}

// The leader is cut off from one voter and replaces it, and at once the network splits: the replaced
// voter is alive and elects another leader. If the new list decided alone, both halves would commit.
func TestReplacedVoterThatIsAliveElectsNoSecondLeader(t *testing.T) {
	c := bootstrappedCluster(t)
	leader := c.leader()
	kept, replaced := c.others(leader)[0], c.others(leader)[1]
	c.add("v4")
	c.runUntil(func() bool { return c.nodes["v4"].applied == leader.applied })
	c.cutFrom[replaced.name] = leader.name
	c.runUntil(func() bool { return leader.state.Status(c.now).VotersAt > leader.applied })
	c.side[kept.name], c.side[replaced.name] = true, true
	for i := range 10 {
		for _, n := range []*node{leader, kept, replaced} {
			_ = c.propose(n, fmt.Sprint("change-", i, n.name), n.ledger.Current().Revision, "b")
		}
		c.run(time.Second)
	}
	clear(c.side)
	clear(c.cutFrom)
	c.heal()
}

// Two processes share a name by a configuration mistake. The one that is no voter must not
// replace the voter, which is reachable.
func TestSecondProcessOfOneNameGetsNoVote(t *testing.T) {
	c := bootstrappedCluster(t)
	leader, twin := c.leader(), c.others(c.leader())[0]
	for range 100 {
		c.send(agreement.Message{Kind: agreement.JoinRequest, To: leader.id, Voter: agreement.Voter{Name: twin.name, Id: "second", Address: twin.name}})
		c.run(tick)
	}
	require.False(t, c.listed(leader, "second"))
	require.True(t, c.listed(leader, twin.id))
}
