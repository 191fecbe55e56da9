package agreement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
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

// Symptom: no change was accepted any more although two of three machines ran.
// Events: one machine after the other is gone for good, and an empty one comes
// at another address each time.
// Cause: the voters that were gone stayed in the list and counted towards the
// majority, two of five at last.
func TestMachinesThatAreGoneLeaveTheList(t *testing.T) {
	c := founded(t)
	for _, step := range []struct{ gone, comes string }{{"v1", "v4"}, {"v2", "v5"}, {"v3", "v6"}} {
		c.nodes[step.gone].crash()
		c.run(2 * time.Second)
		c.add(step.comes)
		c.run(20 * time.Second)
		require.NotNil(t, c.leader(), "after %s", step.gone)
		require.Len(t, votersOf(c), 3)
		require.NotContains(t, votersOf(c), step.gone)
	}
	require.Equal(t, uint64(1), c.leader().ledger.Current().Revision)
}

// Symptom: voters that had been cut off for some seconds never voted again.
// Events: two of five are cut off for long; one leaves the list for the losses
// to be borne; they come back.
// Cause: a voter that left the list while it was cut off believes in the old
// one, and asks for votes that nobody gives.
func TestVotersThatWereCutOffAreTakenInAgain(t *testing.T) {
	c := founded(t)
	c.add("v4")
	c.add("v5")
	c.run(5 * time.Second)
	require.Len(t, votersOf(c), 5)
	lost := c.others(c.leader())[:2]
	for _, n := range lost {
		c.cut[n.name] = true
	}
	c.run(30 * time.Second)
	require.Len(t, votersOf(c), 3, "with one loss to bear three are enough")
	clear(c.cut)
	c.run(10 * time.Second)
	require.Len(t, votersOf(c), 5)
}

// Symptom: a read gave an older configuration than one that was acknowledged.
// Events: the leader's VM is suspended; the others elect another and accept a
// change; the first wakes up and is read, its clock having stood still.
// Cause: its lease seemed to hold, since its clock did not count the time.
func TestLeaderThatWasSuspendedConfirmsNothing(t *testing.T) {
	c := founded(t)
	old := c.leader()
	asleep := c.now
	old.up = false
	c.run(10 * time.Second)
	require.NotNil(t, c.leader())
	old.up = true
	require.True(t, old.state.Current(asleep), "by its own clock the lease holds")
	require.False(t, old.state.ConfirmedSince(asleep, asleep.Add(time.Millisecond)))
	now := c.leader()
	since := c.now
	require.Eventually(t, func() bool {
		c.run(tick)
		return now.state.ConfirmedSince(c.now, since)
	}, time.Minute, time.Microsecond)
}

// Symptom: a zone that was cut off during a restart of all VMs had no
// configuration until the cut ended.
// Events: a change is accepted; all voters lose power; one comes back alone.
// Cause: no disk said which entries of the log had been accepted.
func TestRestartedVoterKnowsWhatWasAccepted(t *testing.T) {
	c := founded(t)
	require.NoError(t, c.propose(c.leader(), "kept", 1, "b"))
	c.run(time.Second)
	for _, name := range c.names {
		n := c.nodes[name]
		n.carryOut([]agreement.Effect{{Persist: &agreement.Persist{Commit: n.state.Commit()}}})
		n.crash()
	}
	alone := c.nodes["v2"]
	alone.start()
	alone.carryOut(alone.state.Replay())
	require.Equal(t, uint64(2), alone.ledger.Current().Revision)
	require.Nil(t, c.leader())
}

// Symptom: at each planned stop of the leading voter no change was accepted for
// a second.
// Events: the leader stops; the others notice its silence.
// Cause: nobody was told, and the others respect a leader that was heard lately.
func TestLeaderThatStopsHandsOver(t *testing.T) {
	c := founded(t)
	old := c.leader()
	old.carryOut(old.state.HandOver(c.now))
	c.run(600 * time.Millisecond) // the least silence before a vote is a second
	require.NotNil(t, c.leader())
	require.NotSame(t, old, c.leader())
	require.NoError(t, c.propose(c.leader(), "next", 1, "b"))
	c.run(time.Second)
	require.Equal(t, uint64(2), old.ledger.Current().Revision, "the old one follows until it stops")
}

// Symptom: no voter led for the rest of the run after a lost disk (soak, seed 227).
// Events: a voter with a replaced disk has caught up and gets its vote; the leader
// fails before that voter has the list that says so.
// Cause: the others need its vote, and it believed that it had none.
func TestVoterVotesBeforeItKnowsThatItMay(t *testing.T) {
	c := founded(t)
	lead := c.leader()
	fresh := c.others(lead)[0]
	fresh.crash()
	c.run(time.Second)
	fresh.replaceDisk()
	promoted := func() bool {
		for _, v := range lead.state.Status(c.now).Voters {
			if v.Id == fresh.id && !v.Learner {
				return true
			}
		}
		return false
	}
	for end := c.now.Add(20 * time.Second); !promoted(); {
		require.True(t, c.now.Before(end))
		// The new voter hears nothing of the step that gives it its vote.
		before := len(c.wire)
		c.run(tick)
		if promoted() {
			c.wire = c.wire[:min(before, len(c.wire))]
			c.cut[fresh.name] = true
		}
	}
	c.run(time.Second)
	lead.crash()
	lead.start()
	c.wire = nil
	clear(c.cut)
	c.run(20 * time.Second)
	require.NotNil(t, c.leader())
}

// Symptom: a voter ended with "one leader a term" (soak, seed 211).
// Events: a disk is replaced; the voter gets its vote while its former id is still
// in the list, and becomes the leader.
// Cause: its messages to the former id, at its own address, came back to it.
func TestMessageToAFormerIdIsIgnored(t *testing.T) {
	c := founded(t)
	lead := c.leader()
	s := lead.state.Status(c.now)
	require.NotPanics(t, func() {
		effects := lead.state.Reduce(c.now, agreement.Event{Message: &agreement.Message{
			Kind: agreement.Append, From: lead.id, To: "a former id", Term: s.Term, Index: s.Last,
		}})
		require.Empty(t, effects)
	})
	require.Equal(t, agreement.Leader, lead.state.Status(c.now).Role)
}
