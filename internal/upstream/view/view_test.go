package view_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/view"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newView() *view.View {
	return view.New(view.Settings{ContactLease: 3 * time.Second, UnconfirmedTTL: 4 * time.Second, ForgetAfter: time.Minute})
}

func notice(sequence uint64, s upstream.State) directory.Notice {
	return directory.Notice{Upstream: upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Sequence: sequence, State: s,
	}}
}

func after(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func TestUpstreamIsLiveIfOneVoterReceivesItsAnnouncements(t *testing.T) {
	v := newView()
	silent := notice(5, upstream.Ready)
	silent.Silent = true
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{silent})
	v.ApplyNotices(epoch, "v2", 1, []directory.Notice{notice(7, upstream.Ready)})
	require.True(t, v.Targets(epoch)[0].Live)
	require.Equal(t, uint64(7), v.Targets(epoch)[0].Sequence)
}

// One voter has acknowledged a departure, and a notice of another voter reaches the balancer
// later. The upstream must get no new flows: a drain is undone only by a notice with a higher
// sequence, and a withdrawal is final whatever the sequences.
func TestLaterNoticeDoesNotUndoADeparture(t *testing.T) {
	v := newView()
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{notice(9, upstream.Draining)})
	v.ApplyNotices(after(1), "v2", 1, []directory.Notice{notice(8, upstream.Ready)})
	require.Equal(t, upstream.Draining, v.Targets(after(1))[0].State)
	v.ApplyNotices(after(2), "v2", 1, []directory.Notice{notice(8, upstream.Withdrawn)})
	v.ApplyNotices(after(3), "v1", 1, []directory.Notice{notice(12, upstream.Ready)})
	require.Equal(t, upstream.Withdrawn, v.Targets(after(3))[0].State)
	require.False(t, v.Targets(after(3))[0].Live)
}

// A withdrawn upstream still serves its open flows. They must not be reset before it ends.
func TestWithdrawnUpstreamKeepsItsFlowsUntilItEnds(t *testing.T) {
	v := newView()
	d := directory.New(directory.Settings{SilentAfter: 4 * time.Second, ForgetAfter: time.Minute})
	version := uint64(0)
	next := func(now time.Time) view.Target {
		d.Tick(now)
		v.ApplyNotices(now, "v1", 1, d.Since(now, version))
		version = d.Version()
		return v.Targets(now)[0]
	}
	x := notice(1, upstream.Ready).Upstream
	d.Announce(epoch, x, 0)
	require.True(t, next(epoch).Live)
	d.Announce(epoch, x.WithState(upstream.Withdrawn), 0)
	for _, seconds := range []int{0, 2, 5, 9} {
		require.False(t, next(after(seconds)).Live, "a withdrawn upstream gets no new flows")
		require.False(t, next(after(seconds)).Ended, "it serves its open flows until its deregistration is acknowledged, which may be late")
	}
	require.True(t, next(after(11)).Ended)
}

// The only reachable voter restarts, and its first response is empty. The earlier notices stay valid
// for UnconfirmedTTL: otherwise the balancer would have no upstreams for seconds.
func TestNoticesSurviveAVoterRestartForUnconfirmedTTL(t *testing.T) {
	v := newView()
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{notice(1, upstream.Ready)})
	v.ApplyNotices(after(1), "v1", 2, nil)
	require.True(t, v.Targets(after(1))[0].Live)
	v.ApplyNotices(after(6), "v1", 2, nil)
	require.False(t, v.Targets(after(6))[0].Live, "no voter has received an announcement since the restart")
	v.ApplyNotices(after(7), "v1", 2, []directory.Notice{notice(3, upstream.Ready)})
	require.True(t, v.Targets(after(7))[0].Live)
}

// A voter without contact for longer than ContactLease counts as unreachable.
func TestNoticesOfUnreachableVotersCountOnlyIfAllAreUnreachable(t *testing.T) {
	v := newView()
	v.ApplyNotices(epoch, "far", 1, []directory.Notice{notice(1, upstream.Ready)})
	v.ApplyNotices(epoch, "near", 1, nil)
	v.ApplyNotices(after(5), "near", 1, nil)
	require.False(t, v.Targets(after(5))[0].Live)
	require.True(t, v.Targets(after(20))[0].Live, "while no voter is reachable, the last notices stay valid")
}

// A live upstream has replaced a crashed one at the same address. A delayed announcement of the
// crashed upstream reaches the only voter that knows the live upstream, which then counts as
// replaced. The flows of the live upstream must not be reset while its announcements are recent.
func TestReplacedIncarnationEndsOnlyOnceItIsSilentAtAllVoters(t *testing.T) {
	v := newView()
	replaced := notice(1, upstream.Ready)
	replaced.Replaced = true
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{replaced})
	v.ApplyNotices(epoch, "v2", 1, []directory.Notice{notice(2, upstream.Ready)})
	require.False(t, v.Targets(epoch)[0].Ended, "the second voter reports it as live")
	v.ApplyNotices(epoch, "v2", 1, []directory.Notice{replaced})
	require.False(t, v.Targets(epoch)[0].Ended, "its last announcement is recent")
	require.False(t, v.Targets(epoch)[0].Live, "but it gets no new flows")
	silent := replaced
	silent.Silent = true
	v.ApplyNotices(after(3), "v1", 1, []directory.Notice{silent})
	require.False(t, v.Targets(after(3))[0].Ended, "the second voter received a recent announcement")
	v.ApplyNotices(after(4), "v2", 1, []directory.Notice{silent})
	require.True(t, v.Targets(after(4))[0].Ended)
}

func TestRestoredUpstreamIsLiveUntilItExpires(t *testing.T) {
	v := newView()
	restored := notice(1, upstream.Ready)
	restored.Recalled = true
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{restored})
	require.True(t, v.Targets(epoch)[0].Live)
	v.ApplyNotices(after(6), "v1", 1, nil)
	require.False(t, v.Targets(after(6))[0].Live, "no voter has received an announcement since")
	v.ApplyNotices(after(7), "v1", 1, []directory.Notice{notice(2, upstream.Ready)})
	require.True(t, v.Targets(after(7))[0].Live)
}

// A voter restores an upstream, and shortly afterwards another one. If expiry is checked only at
// the later time, the first upstream stays in the pool of a balancer after its expiry.
func TestRestoredUpstreamsOfAVoterExpireTogether(t *testing.T) {
	v := newView()
	first, second := notice(1, upstream.Ready), notice(1, upstream.Ready)
	first.Recalled, second.Recalled = true, true
	second.Upstream.Incarnation++
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{first})
	v.Changes(epoch)
	v.ApplyNotices(after(2), "v1", 1, []directory.Notice{second})
	v.Changes(after(2))
	c, changed := v.Changes(after(4))
	require.True(t, changed)
	require.Len(t, c.Targets, 2)
	require.False(t, c.Targets[0].Live)
	require.False(t, c.Targets[1].Live)
}

// changedLiveness returns the changed upstreams of a view, and whether each is live.
func changedLiveness(v *view.View, now time.Time) map[uint64]bool {
	c, _ := v.Changes(now)
	out := map[uint64]bool{}
	for _, t := range c.Targets {
		out[t.Incarnation] = t.Live
	}
	return out
}

func TestViewChangesWithTime(t *testing.T) {
	v := newView()
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{notice(1, upstream.Ready)})
	v.ApplyNotices(epoch, "v2", 1, nil)
	require.Equal(t, map[uint64]bool{1: true}, changedLiveness(v, epoch))
	require.Empty(t, changedLiveness(v, after(2)))
	v.ApplyNotices(after(2), "v2", 1, nil)
	require.Equal(t, map[uint64]bool{1: false}, changedLiveness(v, after(4)), "v1 has not answered for longer than its lease")
	require.Empty(t, changedLiveness(v, after(4)))
	v.ApplyNotices(after(4), "v1", 2, nil)
	require.Equal(t, map[uint64]bool{1: true}, changedLiveness(v, after(4)))
	v.ApplyNotices(after(7), "v1", 2, nil)
	v.ApplyNotices(after(7), "v2", 1, nil)
	require.Empty(t, changedLiveness(v, after(7)))
	v.ApplyNotices(after(9), "v1", 2, nil)
	v.ApplyNotices(after(9), "v2", 1, nil)
	require.Equal(t, map[uint64]bool{1: false}, changedLiveness(v, after(9)), "the notices from before v1's restart have expired")
}

// One voter is unreachable for a short time. The balancer merged all upstreams of the fleet
// again, which delayed packets by hundreds of ms.
func TestUnreachableVoterChangesOnlyItsUpstreams(t *testing.T) {
	v := newView()
	const voters = 25
	for voter := range voters {
		name := fmt.Sprint("v", voter)
		v.ApplyNotices(epoch, name, 1, []directory.Notice{numbered(uint64(voter)+1, 1)})
	}
	v.Changes(epoch)
	for voter := 1; voter < voters; voter++ {
		v.ApplyNotices(after(4), fmt.Sprint("v", voter), 1, nil)
	}
	require.Equal(t, map[uint64]bool{1: false}, changedLiveness(v, after(4)))
	v.ApplyNotices(after(5), "v0", 1, nil)
	require.Equal(t, map[uint64]bool{1: true}, changedLiveness(v, after(5)))
	v.ApplyNotices(after(5), "v0", 2, nil)
	require.Equal(t, map[uint64]bool{1: true}, changedLiveness(v, after(5)), "a restart")
	v.ApplyNotices(after(10), "v0", 2, nil)
	for voter := 1; voter < voters; voter++ {
		v.ApplyNotices(after(10), fmt.Sprint("v", voter), 1, nil)
	}
	c, _ := v.Changes(after(10))
	require.False(t, c.Whole)
	require.Len(t, c.Targets, 1, "the notices from before the restart expire")
	require.False(t, c.Targets[0].Live)
}

// The only voter restarts, and its notices are minutes old. They were forgotten at once because
// of their age, and upstreams got no flow for a second.
func TestOldNoticeIsKeptAfterARestart(t *testing.T) {
	v := newView()
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{notice(1, upstream.Ready)})
	v.ApplyNotices(after(600), "v1", 1, nil)
	v.ApplyNotices(after(601), "v1", 2, nil)
	require.Len(t, v.Targets(after(602)), 1)
	require.True(t, v.Targets(after(602))[0].Live)
	v.ApplyNotices(after(800), "v1", 2, nil)
	require.Empty(t, v.Targets(after(800)))
}

// applied is the state that results from applying all changes.
type applied map[uint64]view.Target

func (r applied) apply(c view.Changes) {
	if c.Whole {
		clear(r)
	}
	for _, id := range c.Removed {
		delete(r, id)
	}
	for _, t := range c.Targets {
		r[t.Incarnation] = t
	}
}

func (r applied) sorted() []view.Target {
	out := []view.Target{}
	for _, id := range slices.Sorted(maps.Keys(r)) {
		out = append(out, r[id])
	}
	return out
}

// TestChangesLeadToTheSamePools applies random notices of three voters and checks that a router
// that applies the changes has the same pools as one that is given all targets.
func TestChangesLeadToTheSamePools(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		incremental := router.New(router.Settings{Zone: "a"})
		now := epoch
		runs := map[string]uint64{}
		replica := applied{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "voter")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				runs[name]++
			}
			var notices []directory.Notice
			for range rapid.IntRange(0, 3).Draw(t, "notices") {
				n := notice(rapid.Uint64Range(1, 20).Draw(t, "sequence"), upstream.State(rapid.IntRange(0, 2).Draw(t, "state")))
				n.Upstream.Incarnation = rapid.Uint64Range(1, 6).Draw(t, "incarnation")
				n.Upstream.Service = []string{"orders", "notes"}[n.Upstream.Incarnation%2]
				n.Upstream.Born = rapid.Uint64Range(0, 2).Draw(t, "born")
				n.Silent = rapid.Bool().Draw(t, "silent")
				n.Replaced = rapid.IntRange(0, 4).Draw(t, "replaced") == 0
				n.Recalled = rapid.IntRange(0, 4).Draw(t, "recalled") == 0
				notices = append(notices, n)
			}
			v.ApplyNotices(now, name, runs[name], notices)
			if rapid.IntRange(0, 2).Draw(t, "late") == 0 {
				continue
			}
			if c, changed := v.Changes(now); changed {
				incremental.Update(now, c)
				replica.apply(c)
			}
			require.Equal(t, v.Targets(now), replica.sorted())
			fresh := router.New(router.Settings{Zone: "a"})
			fresh.SetTargets(now, v.Targets(now))
			for _, service := range []string{"orders", "notes"} {
				require.Equal(t, fresh.Pool(service), incremental.Pool(service))
			}
			require.Equal(t, fresh.Upstreams(), incremental.Upstreams())
		}
	})
}

// An upstream restarts. One voter sends a notice on the new instance, and another voter sends one on
// the earlier instance, before or after the first. The upstream must get flows, and its flows must
// not be reset.
func TestNoticesOnAnEarlierInstanceAreIgnored(t *testing.T) {
	before := notice(90, upstream.Withdrawn)
	before.Upstream.Born, before.Replaced, before.Silent = 100, true, true
	again := notice(1, upstream.Ready)
	again.Upstream.Born = 200
	for _, order := range [][]directory.Notice{{before, again}, {again, before}} {
		v := newView()
		v.ApplyNotices(epoch, "v1", 1, order[:1])
		v.ApplyNotices(after(1), "v2", 1, order[1:])
		targets := v.Targets(after(1))
		require.Len(t, targets, 1)
		require.Equal(t, uint64(200), targets[0].Born)
		require.True(t, targets[0].Live)
		require.False(t, targets[0].Ended)
	}
}

// The voter that knows the new instance restarts and receives no announcement. Notices of another
// voter on the earlier instance are still ignored.
func TestEarlierInstanceIsNotRevived(t *testing.T) {
	v := newView()
	before := notice(90, upstream.Ready)
	before.Upstream.Born = 100
	again := notice(1, upstream.Ready)
	again.Upstream.Born = 200
	v.ApplyNotices(epoch, "v1", 1, []directory.Notice{again})
	v.ApplyNotices(epoch, "v2", 1, []directory.Notice{before})
	v.ApplyNotices(after(1), "v1", 2, nil)
	v.ApplyNotices(after(10), "v2", 1, nil)
	v.ApplyNotices(after(10), "v1", 2, nil)
	for _, x := range v.Targets(after(10)) {
		require.Equal(t, uint64(200), x.Born)
		require.False(t, x.Live)
	}
}

func numbered(incarnation, sequence uint64) directory.Notice {
	n := notice(sequence, upstream.Ready)
	n.Upstream.Incarnation = incarnation
	return n
}

func incarnations(all []directory.Notice) []uint64 {
	var out []uint64
	for _, n := range all {
		out = append(out, n.Upstream.Incarnation)
	}
	slices.Sort(out)
	return out
}

func apply(v *view.View, at time.Time, life, version uint64, notices ...directory.Notice) {
	v.Apply(at, view.Update{Voter: "v1", Life: life, Version: version, Contact: at, Notices: notices})
}

func TestSinceReturnsLaterNotices(t *testing.T) {
	v := newView()
	apply(v, epoch, 1, 5, numbered(1, 1), numbered(2, 1))
	apply(v, after(1), 1, 6, numbered(3, 1))
	require.Equal(t, []uint64{1, 2, 3}, incarnations(v.Since(after(1), "v1", 1, 0)))
	require.Equal(t, []uint64{3}, incarnations(v.Since(after(1), "v1", 1, 5)))
	require.Empty(t, v.Since(after(1), "v1", 1, 6))
	require.Empty(t, v.Since(after(1), "v1", 2, 0), "another life")
	require.Empty(t, v.Since(after(1), "v2", 1, 0))
	apply(v, after(2), 1, 7, numbered(1, 9))
	require.Equal(t, []uint64{1, 3}, incarnations(v.Since(after(2), "v1", 1, 5)))
}

// A balancer relays notices from before and after a voter's restart together. Followers would
// take the earlier ones for current.
func TestOnlyNoticesOfTheCurrentLifeAreRelayed(t *testing.T) {
	v := newView()
	apply(v, epoch, 1, 5, numbered(1, 1))
	apply(v, after(1), 2, 1, numbered(2, 1))
	require.Equal(t, []uint64{2}, incarnations(v.Since(after(1), "v1", 2, 0)))
	restored := numbered(3, 1)
	restored.Recalled = true
	apply(v, after(1), 2, 2, restored)
	require.Equal(t, []uint64{2}, incarnations(v.Since(after(1), "v1", 2, 0)), "restored notices are not relayed")
}

func TestRelayedNoticesAge(t *testing.T) {
	v := newView()
	n := numbered(1, 1)
	n.Cold, n.Age = 3*time.Second, time.Second
	apply(v, epoch, 1, 1, n)
	relayed := v.Since(after(2), "v1", 1, 0)[0]
	require.Equal(t, time.Second, relayed.Cold)
	require.Equal(t, 3*time.Second, relayed.Age)
	require.Zero(t, v.Since(after(9), "v1", 1, 0)[0].Cold)
}

// A voter keeps a view only to save it to disk and never calls Changes. Its memory must not grow
// with every past upstream.
func TestUncollectedChangesAreBounded(t *testing.T) {
	v := newView()
	for n := range 100 {
		gone := numbered(uint64(n)+1, 1)
		gone.Silent = true
		apply(v, after(100*n), 1, uint64(n)+1, gone)
	}
	c, changed := v.Changes(after(10_000))
	require.True(t, changed)
	require.LessOrEqual(t, len(c.Targets)+len(c.Removed), 2)
}

// A follower that lacks more changes than are kept receives all notices.
func TestSinceReturnsAllNoticesIfChangesWereTrimmed(t *testing.T) {
	v := newView()
	for n := range uint64(5000) {
		apply(v, epoch, 1, n+1, numbered(n%50+1, n))
	}
	require.Len(t, v.Since(epoch, "v1", 1, 10), 50)
	require.Len(t, v.Since(epoch, "v1", 1, 4995), 5)
}

// A zone is partitioned, and a balancer relays older updates of a voter there. They must not
// count as contact with that voter, or the zone's upstreams stay live.
func TestRelayedUpdateDoesNotCountAsContact(t *testing.T) {
	v := newView()
	v.Apply(epoch, view.Update{Voter: "v2", Life: 1, Version: 1, Contact: epoch})
	apply(v, epoch, 1, 5, numbered(1, 1))
	for s := range 6 {
		v.Apply(after(s), view.Update{Voter: "v1", Life: 1, Version: 5, Contact: epoch})
		v.Apply(after(s), view.Update{Voter: "v2", Life: 1, Version: 1, Contact: after(s)})
	}
	require.False(t, v.Targets(after(5))[0].Live)
}
