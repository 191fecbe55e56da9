package agreement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/disk/fault"
)

const (
	// catchup is how long a VM that is back, or new, still counts as lost.
	catchup = 4 * time.Second
	// recovery is how long a change may take after the last failure.
	recovery = 12 * time.Second
)

// vm is a VM as the losses count it. A VM and its successor share a group and count as one loss.
type vm struct {
	*node
	group int
	// impaired is set while the VM is down, frozen, cut off or slow.
	impaired bool
	// spare is set on a VM that joined before the one that it succeeds was removed.
	spare bool
	// backAt is when the VM started or was last impaired.
	backAt time.Time
}

func (v *vm) String() string { return v.id }

// losses injects failures that stay within a tolerance.
type losses struct {
	*cluster
	t   *rapid.T
	vms []*vm
	// pending holds the groups whose removed VM has no successor yet.
	pending map[int]bool
	// unsettledUntil is when all VMs have caught up after they all stopped or were split.
	unsettledUntil time.Time
	added, keys    int
}

// lostGroups returns the groups that count as lost.
func (l *losses) lostGroups() map[int]bool {
	lost := map[int]bool{}
	for g := range l.pending {
		lost[g] = true
	}
	for _, v := range l.vms {
		if v.impaired || l.now.Before(v.backAt.Add(catchup)) {
			lost[v.group] = true
		}
	}
	return lost
}

// mayLose reports whether the tolerance covers the loss of a group.
func (l *losses) mayLose(group int) bool {
	return l.mayLoseDisk(group) && (l.lostGroups()[group] || !l.now.Before(l.unsettledUntil))
}

// mayLoseDisk is mayLose while all VMs are stopped at once.
func (l *losses) mayLoseDisk(group int) bool {
	lost := l.lostGroups()
	return lost[group] || len(lost) < l.settings.Tolerate
}

func (l *losses) impair(v *vm) bool {
	if !l.mayLose(v.group) {
		return false
	}
	v.impaired = true
	return true
}

// restore ends all that impairs a VM.
func (l *losses) restore(v *vm) {
	if !v.up {
		v.start()
	}
	v.frozen, v.syncTime = false, 0
	delete(l.partitioned, v.name)
	delete(l.cutFrom, v.name)
	if v.impaired {
		v.impaired, v.backAt = false, l.now
	}
}

// returnEmpty lets a VM return at once with an empty disk.
func (l *losses) returnEmpty(v *vm) {
	v.crash()
	l.restore(v)
	v.crash()
	v.replaceDisk()
}

// join starts a VM with an empty disk.
func (l *losses) join(group int) *vm {
	l.added++
	v := &vm{node: &node{cluster: l.cluster, name: fmt.Sprintf("w%d", l.added), disk: fault.New(uint64(l.added))}, group: group, backAt: l.now}
	l.nodes[v.name] = v.node
	l.names = append(l.names, v.name)
	l.vms = append(l.vms, v)
	delete(l.pending, group)
	v.replaceDisk()
	return v
}

// remove takes a VM out of service for good.
func (l *losses) remove(v *vm, planned bool) {
	left := planned && v.up && !v.frozen && v.stopAsPlanned() == agreement.Left
	v.crash()
	l.vms = lo.Without(l.vms, v)
	l.names = lo.Without(l.names, v.name)
	delete(l.nodes, v.name)
	successor, ok := lo.Find(l.vms, func(o *vm) bool { return o.spare })
	if !ok {
		l.pending[v.group] = true
		return
	}
	successor.group, successor.spare = v.group, false
	if !left {
		// A VM that is gone without having left counts until the voters have noticed.
		successor.backAt = l.now
	}
}

// stopAll kills all VMs at once. Those that the tolerance covers lose their disks.
func (l *losses) stopAll() {
	l.settle()
	for _, v := range l.vms {
		v.crash()
	}
	l.run(time.Duration(rapid.IntRange(0, 20).Draw(l.t, "ticks down")) * tick)
	for _, v := range l.vms {
		if l.mayLoseDisk(v.group) && rapid.IntRange(0, 3).Draw(l.t, "lose disk") == 0 {
			v.impaired = true
			l.returnEmpty(v)
		} else if !v.impaired {
			v.start()
		}
	}
	l.settle()
}

// settle prolongs the time that VMs need to catch up. It is called before and after all VMs stop or
// are split, since a VM that has not caught up before does so only afterwards.
func (l *losses) settle() {
	lost := l.lostGroups()
	for _, v := range l.vms {
		if lost[v.group] {
			v.backAt = l.now
		}
	}
	l.unsettledUntil = l.now.Add(catchup)
}

func (l *losses) step() {
	v := rapid.SampledFrom(l.vms).Draw(l.t, "vm")
	// Most failures concern VMs that count as lost already: they join again meanwhile.
	if lost := lo.Filter(l.vms, func(v *vm, _ int) bool { return l.lostGroups()[v.group] }); len(lost) > 0 && rapid.IntRange(0, 3).Draw(l.t, "any") > 0 {
		v = rapid.SampledFrom(lost).Draw(l.t, "lost vm")
	}
	switch rapid.IntRange(0, 15).Draw(l.t, "what") {
	case 0:
		if l.impair(v) {
			v.crash()
		}
	case 1, 2, 3:
		if l.impair(v) {
			l.returnEmpty(v)
		}
	case 4:
		if l.impair(v) {
			v.frozen = true
		}
	case 5:
		if leader := l.leader(); l.impair(v) {
			if l.partitioned[v.name] = leader == nil || rapid.Bool().Draw(l.t, "from all"); !l.partitioned[v.name] {
				l.cutFrom[v.name] = leader.name
			}
		}
	case 6:
		if l.impair(v) {
			v.syncTime = time.Duration(rapid.IntRange(1, 20).Draw(l.t, "sync ticks")) * tick
		}
	case 7, 8:
		l.restore(v)
	case 9:
		if l.impair(v) {
			l.remove(v, rapid.Bool().Draw(l.t, "planned"))
		}
	case 10:
		if group := l.added + 1; l.mayLose(group) && !lo.ContainsBy(l.vms, func(o *vm) bool { return o.spare }) {
			l.join(group).spare = true
		}
	case 11:
		for _, g := range lo.Keys(l.pending) {
			l.join(g)
			break
		}
	case 12:
		l.stopAll()
	case 13:
		l.settle()
		for _, o := range l.vms {
			l.side[o.name] = rapid.Bool().Draw(l.t, "side")
		}
		l.run(time.Duration(rapid.IntRange(1, 60).Draw(l.t, "ticks split")) * tick)
		clear(l.side)
		l.settle()
	case 14:
		l.late = rapid.SampledFrom([]float64{0, 0.005, 0.02}).Draw(l.t, "late")
	case 15:
		if l.impair(v) && v.up && !v.frozen {
			v.compact()
			v.stopAsPlanned()
		}
	}
	l.change()
	l.run(time.Duration(rapid.IntRange(1, 30).Draw(l.t, "ticks")) * tick)
}

// change proposes a change at the leader.
func (l *losses) change() string {
	l.keys++
	key := fmt.Sprintf("key-%d", l.keys)
	if n := l.leader(); n != nil && !n.stalled() {
		_ = l.propose(n, key, n.ledger.Current().Revision, rapid.SampledFrom([]string{"a", "b"}).Draw(l.t, "preset"))
	}
	return key
}

// finish ends all failures and checks that the voters recover with all that they acknowledged.
func (l *losses) finish() {
	l.late = 0
	for g := range l.pending {
		l.join(g)
	}
	for _, v := range l.vms {
		l.restore(v)
	}
	l.run(recovery)
	require.NotNil(l.t, l.leader(), "no leader within the recovery time")
	key := l.change()
	l.run(time.Second)
	require.Contains(l.t, l.results, key)
	leader, since := l.leader(), l.now
	l.run(time.Second)
	require.True(l.t, leader.state.ConfirmedSince(l.now, since), "no read is confirmed")
	for key, a := range l.results {
		got, ok := leader.ledger.StoredAnswer(key)
		require.True(l.t, ok, "the acknowledged change %s is lost", key)
		require.Equal(l.t, a, got)
	}
	require.GreaterOrEqual(l.t, len(votersOf(l.cluster)), min(len(l.vms), 2*l.settings.Tolerate+1))
}

// A voter that joins, or the one that it succeeds, is lost at any moment, with all other failures
// that the tolerance covers. If a list of voters without a majority came into force, no voter would
// ever lead again.
func TestVotersRecoverFromToleratedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 3, 4, 5, 6, 7}).Draw(t, "voters")
		l := &losses{
			t: t, pending: map[int]bool{},
			cluster: newClusterWith(t, voters, rapid.Uint64().Draw(t, "seed"), agreement.Settings{
				Heartbeat: 150 * time.Millisecond, Election: 600 * time.Millisecond,
				Tolerate: rapid.IntRange(1, (voters-1)/2).Draw(t, "tolerate"),
			}),
		}
		l.run(recovery)
		for i, name := range l.names {
			l.vms = append(l.vms, &vm{node: l.nodes[name], group: -i})
		}
		require.NoError(t, l.propose(l.leader(), "first", 0, ""))
		l.run(time.Second)
		require.Equal(t, ledger.Accepted, l.results["first"].Verdict)
		l.settings.JoinOnly = true
		for range rapid.IntRange(10, *steps).Draw(t, "steps") {
			l.step()
		}
		l.finish()
	})
}
