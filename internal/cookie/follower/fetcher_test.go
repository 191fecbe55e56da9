package follower

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// Symptom: a balancer placed a flow by a configuration that had been replaced 5.5 s before,
// where 5 are allowed.
// Events: changes come in quick succession. The balancer's parent loses power just after it
// spoke of the first one; the next parent has just started and passes on no configuration,
// and speaks of each further change.
// Cause: the fetch from the first took 2 s; each further change made the second one count as
// not tried yet, and after each of its refusals came a pause that doubled up to a second.
func TestSourceThatFailedIsAskedAfterAllOthers(t *testing.T) {
	f := newFetcher("", nil, func() []string { return []string{"voter"} }, hclog.NewNullLogger())
	f.tell("dead", 8)
	address, again := f.next(4)
	require.Equal(t, "dead", address)
	require.False(t, again)
	f.askVoters("dead")
	f.tell("oversize", 8)
	seen := map[string]bool{}
	for revision := uint64(11); revision < 13; revision++ {
		f.tell("oversize", revision)
		address, again = f.next(4)
		require.False(t, again, "no pause while one was not tried")
		seen[address] = true
	}
	require.Equal(t, map[string]bool{"oversize": true, "voter": true}, seen)
	_, again = f.next(4)
	require.True(t, again, "a pause comes before any is asked again")
	f.succeeded()
	_, again = f.next(4)
	require.False(t, again)
	require.Less(t, f.timeout("dead"), f.timeout("voter")/2)
}

// Guards against a balancer that is cut off from the voters, and hides from its followers that
// there is a configuration which it cannot get and they can.
func TestRevisionThatCannotBeGotIsToldToFollowers(t *testing.T) {
	f := newFetcher("", nil, func() []string { return nil }, hclog.NewNullLogger())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	f.tell("parent", 4)
	require.Zero(t, f.missing(at(0), 4))
	f.tell("parent", 10)
	require.Zero(t, f.missing(at(100), 4), "it is about to get it")
	f.tell("parent", 12)
	require.Zero(t, f.missing(at(1000), 4))
	require.Equal(t, uint64(12), f.missing(at(1100), 4))
	require.Zero(t, f.missing(at(1200), 10), "it gets some")
	require.Equal(t, uint64(12), f.missing(at(2200), 10))
	require.Zero(t, f.missing(at(2300), 12))
	f.tell("parent", 13)
	require.Zero(t, f.missing(at(3400), 12))
}
