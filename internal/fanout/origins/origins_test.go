package origins_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/silence/evidence"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func update(life, version uint64, age time.Duration) origins.Update {
	return origins.Update{VoterVersion: origins.VoterVersion{Voter: "v1", Life: life, Version: version, Age: age}}
}

// A balancer changes to a parent with an older version of a voter's state. The update received
// last was applied instead of the newest, so a withdrawn upstream got new flows.
func TestOlderVersionIsRejected(t *testing.T) {
	o := origins.New()
	require.True(t, o.Apply(epoch, update(1, 7, 0)))
	require.False(t, o.Accepts(epoch, update(1, 6, 0)))
	require.False(t, o.Apply(epoch, update(1, 6, 0)))
	require.Equal(t, uint64(7), o.State(epoch, "v1").Version)
	require.False(t, o.Apply(epoch, update(1, 7, 0)), "the same version is no change")
}

// A voter restarts, and a slow parent still relays updates of the earlier life. Lives have no
// order, so balancers detected the restart twice and kept removed upstreams.
func TestEarlierLifeIsRejected(t *testing.T) {
	o := origins.New()
	o.Apply(epoch, update(1, 7, 0))
	later := epoch.Add(time.Second)
	require.True(t, o.Apply(later, update(2, 1, 0)))
	require.False(t, o.Apply(later, update(1, 8, 500*time.Millisecond)))
	require.Equal(t, uint64(2), o.State(later, "v1").Life)
}

func TestAgesAccumulateOverRelays(t *testing.T) {
	first, second := origins.New(), origins.New()
	first.Apply(epoch, update(1, 1, 0))
	relayed, changed := first.UpdatesSince(epoch.Add(time.Second), nil)
	require.True(t, changed)
	second.Apply(epoch.Add(time.Second), relayed[0])
	require.Equal(t, 3*time.Second, second.State(epoch.Add(3*time.Second), "v1").Age)
	require.Equal(t, 1, second.CountFresh(epoch.Add(3*time.Second), 3*time.Second))
	require.Zero(t, second.CountFresh(epoch.Add(3*time.Second), 2*time.Second))
}

// A balancer holds newer state of a voter than its parent. Every difference counted as a change,
// so the balancer polled its parent thousands of times a second.
func TestNewerRemoteStateIsNoChange(t *testing.T) {
	o := origins.New()
	o.Apply(epoch, update(1, 7, 0))
	known := []origins.VoterVersion{{Voter: "v1", Life: 1, Version: 8}}
	relayed, changed := o.UpdatesSince(epoch, known)
	require.False(t, changed)
	require.Len(t, relayed, 1, "its age is sent nevertheless")
	require.Zero(t, relayed[0].Life)
	known[0].Version = 6
	_, changed = o.UpdatesSince(epoch, known)
	require.True(t, changed)
	known[0] = origins.VoterVersion{Voter: "v1", Life: 2, Age: 0}
	_, changed = o.UpdatesSince(epoch.Add(time.Second), known)
	require.False(t, changed, "another life with a later contact")
}

func TestSuspicionAgesIncludeRelayTime(t *testing.T) {
	o := origins.New()
	x := update(1, 1, 0)
	x.Doubts, x.Doubted = 3, true
	x.Subjects = []evidence.Suspicion{{Subject: evidence.Subject{Incarnation: 5}, Age: 100 * time.Millisecond}}
	o.Apply(epoch, x)
	relayed, _ := o.UpdatesSince(epoch.Add(50*time.Millisecond), []origins.VoterVersion{{Voter: "v1", Life: 1, Version: 1, Doubts: 2}})
	require.True(t, relayed[0].Doubted)
	require.Equal(t, 150*time.Millisecond, relayed[0].Subjects[0].Age)
	x.Doubts, x.Subjects = 4, nil
	o.Apply(epoch, x)
	relayed, changed := o.UpdatesSince(epoch, []origins.VoterVersion{{Voter: "v1", Life: 1, Version: 1, Doubts: 3}})
	require.True(t, changed)
	require.True(t, relayed[0].Doubted, "the end of all suspicions is sent once")
	x.Doubts, x.Subjects = 5, []evidence.Suspicion{{Subject: evidence.Subject{Incarnation: 6}}}
	o.Apply(epoch, x)
	relayed, _ = o.UpdatesSince(epoch, []origins.VoterVersion{{Voter: "v1", Life: 1, Version: 1, Doubts: 4}})
	require.Len(t, relayed[0].Subjects, 1)
	relayed, _ = o.UpdatesSince(epoch, []origins.VoterVersion{{Voter: "v1", Life: 1, Version: 1, Doubts: 5}})
	require.False(t, relayed[0].Doubted, "unchanged suspicions are not sent again")
	relayed, _ = o.UpdatesSince(epoch, []origins.VoterVersion{{Voter: "v1", Life: 1, Version: 1, Doubts: 5}})
	require.False(t, relayed[0].Doubted)
}

// For random relay paths and orders, no balancer returns to an earlier version or life, and no
// reported age is lower than the true age.
func TestStateNeverRegressesForRandomPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const balancers = 4
		all := make([]*origins.Origins, balancers)
		for i := range all {
			all[i] = origins.New()
		}
		now := epoch
		life, version := uint64(1), uint64(1)
		lives := map[uint64]int{1: 0}
		sentAt := map[[2]uint64]time.Time{}
		held := make([][2]uint64, balancers)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			i, j := rapid.IntRange(0, balancers-1).Draw(t, "i"), rapid.IntRange(0, balancers-1).Draw(t, "j")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				version++
			case 1:
				life, version = life+1, 1
				lives[life] = len(lives)
			case 2:
				sentAt[[2]uint64{life, version}] = now
				all[i].Apply(now, origins.Update{VoterVersion: origins.VoterVersion{Voter: "v1", Life: life, Version: version}})
			case 3:
				relayed, _ := all[i].UpdatesSince(now, all[j].VoterVersions(now))
				for _, x := range relayed {
					x.Age += time.Millisecond
					all[j].Apply(now, x)
				}
			}
			for n, o := range all {
				k := o.State(now, "v1")
				if k.Life == 0 {
					continue
				}
				require.GreaterOrEqual(t, lives[k.Life], lives[held[n][0]])
				if k.Life == held[n][0] {
					require.GreaterOrEqual(t, k.Version, held[n][1])
				}
				require.GreaterOrEqual(t, k.Age, now.Sub(sentAt[[2]uint64{k.Life, k.Version}]))
				held[n] = [2]uint64{k.Life, k.Version}
			}
		}
	})
}

// A healthy voter has no changes for seconds. Its contact was not relayed in that time, so
// balancers regarded the voter as unreachable.
func TestContactIsRelayedWithoutChanges(t *testing.T) {
	parent, child := origins.New(), origins.New()
	for s := range 5 {
		now := epoch.Add(time.Duration(s) * time.Second)
		parent.Apply(now, update(1, 7, 0))
		relayed, changed := parent.UpdatesSince(now, child.VoterVersions(now))
		require.Equal(t, s == 0, changed)
		for _, x := range relayed {
			require.Equal(t, s == 0, child.Apply(now, x))
		}
		require.Zero(t, child.State(now, "v1").Age)
		require.Equal(t, uint64(7), child.State(now, "v1").Version)
	}
	relayed, _ := parent.UpdatesSince(epoch, child.VoterVersions(epoch))
	require.False(t, origins.New().Apply(epoch, relayed[0]), "an update without a life is ignored if the voter is unknown")
}
