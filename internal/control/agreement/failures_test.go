package agreement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
)

func bootstrappedCluster(t *testing.T) *cluster {
	c := newCluster(t, 3, 42)
	c.run(4 * time.Second)
	require.NotNil(t, c.leader())
	require.NoError(t, c.propose(c.leader(), "first", 0, ""))
	c.run(time.Second)
	require.Equal(t, ledger.Accepted, c.results["first"].Verdict)
	return c
}

func (c *cluster) others(n *node) []*node {
	var ns []*node
	for _, name := range c.names {
		if c.nodes[name] != n {
			ns = append(ns, c.nodes[name])
		}
	}
	return ns
}

// A voter is partitioned and returns. Without pre-votes it would raise its term with
// each election, and depose a healthy leader on its return.
func TestPartitionedVoterNeitherCommitsNorDeposesLeader(t *testing.T) {
	c := bootstrappedCluster(t)
	leader := c.leader()
	isolated := c.others(leader)[0]
	term := leader.state.Status(c.now).Term
	c.partitioned[isolated.name] = true
	c.run(time.Minute)
	require.NoError(t, c.propose(leader, "second", 1, "b"))
	c.run(time.Second)
	require.Equal(t, ledger.Accepted, c.results["second"].Verdict)
	require.Error(t, c.propose(isolated, "third", 1, "b"))
	s := isolated.state.Status(c.now)
	require.False(t, s.Current)
	require.Greater(t, s.Silence, 50*time.Second)
	require.Equal(t, uint64(1), isolated.ledger.Current().Revision)
	clear(c.partitioned)
	c.run(3 * time.Second)
	require.Same(t, leader, c.leader())
	require.Equal(t, term, leader.state.Status(c.now).Term)
	require.Equal(t, uint64(2), isolated.ledger.Current().Revision)
	for range 300 {
		c.partitioned[isolated.name] = true
		c.run(2 * time.Second)
		clear(c.partitioned)
		c.run(500 * time.Millisecond)
		require.Same(t, leader, c.leader())
		require.Equal(t, term, leader.state.Status(c.now).Term)
	}
}

// A leader is partitioned, and the others elect a new leader. If the former leader committed
// without a majority, or if its lease were longer than the election timeout, it could
// acknowledge a change that is lost.
func TestPartitionedLeaderLosesLease(t *testing.T) {
	c := bootstrappedCluster(t)
	former := c.leader()
	c.partitioned[former.name] = true
	c.run(200 * time.Millisecond)
	_ = c.propose(former, "lost", 1, "b")
	c.run(5 * time.Second)
	require.NotContains(t, c.results, "lost")
	require.False(t, former.state.HoldsLease(c.now))
	require.NotNil(t, c.leader())
	require.NotSame(t, former, c.leader())
	clear(c.partitioned)
	c.heal()
	require.Equal(t, uint64(1), former.ledger.Current().Revision)
}

// Voters 1 and 2 store a change while 3 is partitioned. Then 1 crashes, the disk of 2 is
// replaced and 3 returns. Voters 2 and 3 are a majority by name, but 2 has lost the committed
// change. A voter with an empty disk therefore has a new id, and no vote until it is promoted
// in the list of voters.
func TestReplacedDiskHasNoVote(t *testing.T) {
	c := bootstrappedCluster(t)
	one := c.leader()
	two, three := c.others(one)[0], c.others(one)[1]
	c.partitioned[three.name] = true
	require.NoError(t, c.propose(one, "kept", 1, "b"))
	c.run(time.Second)
	require.Equal(t, ledger.Accepted, c.results["kept"].Verdict)
	one.crash()
	two.replaceDisk()
	clear(c.partitioned)
	c.run(20 * time.Second)
	require.Nil(t, c.leader(), "a majority without the committed change must not elect a leader")
	one.start()
	c.heal()
	require.Equal(t, uint64(2), two.ledger.Current().Revision)
}

// The disks of voters 2 and 3 are replaced in turn. A voter whose disk was replaced must be
// removed, added as a learner and promoted before the next disk is replaced. Otherwise
// the two cannot elect a leader when voter 1 fails.
func TestTwoDisksReplacedInTurn(t *testing.T) {
	c := bootstrappedCluster(t)
	for _, name := range c.names[1:] {
		c.nodes[name].loseDisk()
		c.run(15 * time.Second)
		require.NotNil(t, c.leader())
		for _, v := range c.leader().state.Status(c.now).Voters {
			require.False(t, v.Learner, "%s has no vote", v.Name)
		}
	}
	c.nodes["v1"].crash()
	c.run(6 * time.Second)
	require.NotNil(t, c.leader(), "the two replaced voters must elect a leader")
	require.Equal(t, uint64(1), c.leader().ledger.Current().Revision)
}

// Two changes based on revision 1 race. Both are resent after a compaction, a restart of all
// voters and a change of leader. An answer stored outside the replicated state would be lost
// by then. Only one change may become revision 2, and each change key has one answer.
func TestConcurrentAndRetriedChangesGetOneAnswerEach(t *testing.T) {
	c := bootstrappedCluster(t)
	leader := c.leader()
	require.NoError(t, c.propose(leader, "mine", 1, "b"))
	require.NoError(t, c.propose(leader, "yours", 1, "a"))
	c.run(time.Second)
	require.Equal(t, ledger.Answer{Verdict: ledger.Accepted, Revision: 2}, c.results["mine"])
	lost := c.results["yours"]
	require.Equal(t, ledger.Conflict, lost.Verdict)
	require.Equal(t, "mine", lost.WinnerKey)
	for _, name := range c.names {
		c.nodes[name].compact()
		c.nodes[name].crash()
		c.nodes[name].start()
	}
	c.partitioned[leader.name] = true
	c.run(5 * time.Second)
	require.NotSame(t, leader, c.leader())
	require.NoError(t, c.propose(c.leader(), "yours", 2, "a"))
	require.NoError(t, c.propose(c.leader(), "mine", 1, "b"))
	c.run(time.Second)
	clear(c.partitioned)
	c.heal()
	require.Equal(t, uint64(2), leader.ledger.Current().Revision)
	require.Equal(t, "b", leader.ledger.Current().InForce)
}

// The disks of two of three voters fail. A voter whose sync failed must not count
// towards the majority: otherwise a change would be committed.
func TestFailedDisksCommitNothing(t *testing.T) {
	c := bootstrappedCluster(t)
	leader := c.leader()
	for _, n := range c.others(leader) {
		n.disk.FailAt = n.disk.Operations + 1
	}
	_ = c.propose(leader, "nowhere", 1, "b")
	c.run(3 * time.Second)
	require.NotContains(t, c.results, "nowhere")
	for _, n := range c.others(leader) {
		require.False(t, n.up)
		require.Equal(t, agreement.ReadOnly, n.state.Status(c.now).Role)
	}
}

// The leader crashes. With too long election timeouts, changes would wait for more than
// five seconds.
func TestNewLeaderWithinFiveSeconds(t *testing.T) {
	c := bootstrappedCluster(t)
	c.leader().crash()
	begin := c.now
	for c.leader() == nil {
		c.run(tick)
		require.Less(t, c.now.Sub(begin), 5*time.Second)
	}
}
