package follower

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// During a series of quick changes, a parent loses power after it announced the first change, and
// the fetch takes 2 s to time out. The next parent has just started and rejects each fetch. Each
// further change used to reset the attempt count, and each rejected fetch doubled the pause, up to
// a second: the balancer placed flows by a configuration replaced 5.5 s earlier, where 5 s are
// allowed.
func TestFailedSourceIsRetriedLast(t *testing.T) {
	f := newFetcher("", nil, func() []string { return []string{"voter"} }, hclog.NewNullLogger())
	f.noteRevision("dead", 8)
	address, again := f.nextSource(4)
	require.Equal(t, "dead", address)
	require.False(t, again)
	f.fallBackToVoters("dead")
	f.noteRevision("oversize", 8)
	seen := map[string]bool{}
	for revision := uint64(11); revision < 13; revision++ {
		f.noteRevision("oversize", revision)
		address, again = f.nextSource(4)
		require.False(t, again, "no pause while an untried source remains")
		seen[address] = true
	}
	require.Equal(t, map[string]bool{"oversize": true, "voter": true}, seen)
	_, again = f.nextSource(4)
	require.True(t, again, "a retry is preceded by a pause")
	f.resetAttempts()
	_, again = f.nextSource(4)
	require.False(t, again)
	require.Less(t, f.timeout("dead"), f.timeout("voter")/2)
}

// A parent that is cut off from the voters announces only the configuration that it holds. Its
// followers must not keep an outdated configuration, since they can reach the voters.
func TestUnavailableRevisionIsReported(t *testing.T) {
	f := newFetcher("", nil, func() []string { return nil }, hclog.NewNullLogger())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	f.noteRevision("parent", 4)
	require.Zero(t, f.unavailableRevision(at(0), 4))
	f.noteRevision("parent", 10)
	require.Zero(t, f.unavailableRevision(at(100), 4), "the fetch may still succeed")
	f.noteRevision("parent", 12)
	require.Zero(t, f.unavailableRevision(at(1000), 4))
	require.Equal(t, uint64(12), f.unavailableRevision(at(1100), 4))
	require.Zero(t, f.unavailableRevision(at(1200), 10), "progress restarts the timer")
	require.Equal(t, uint64(12), f.unavailableRevision(at(2200), 10))
	require.Zero(t, f.unavailableRevision(at(2300), 12))
	f.noteRevision("parent", 13)
	require.Zero(t, f.unavailableRevision(at(3400), 12))
}

// Guards against a balancer that keeps an older configuration because it asks voters that do not answer
// before voters that its parent hears from.
func TestResponsiveVotersAreAskedFirst(t *testing.T) {
	voters := []string{"seed-1", "seed-2", "seed-3", "voter-4"}
	f := newFetcher("", nil, func() []string { return voters }, hclog.NewNullLogger())
	f.responsive = func() map[string]bool { return map[string]bool{"voter-4": true} }
	f.noteRevision("parent", 42)
	address, _ := f.nextSource(40)
	require.Equal(t, "parent", address)
	f.fallBackToVoters("parent")
	address, _ = f.nextSource(40)
	require.Equal(t, "voter-4", address)
}
