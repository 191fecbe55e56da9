package recent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/upstream/recent"
)

func TestSetOfManyUpstreamsHoldsAll(t *testing.T) {
	few := recent.Of([]uint64{3, 5})
	require.True(t, few.Has(5))
	require.False(t, few.Has(4))
	require.True(t, few.With(recent.Of([]uint64{4})).Has(4))
	require.True(t, recent.Of(make([]uint64, 1000)).Has(4))
	require.True(t, few.With(recent.Set{All: true}).Has(4))
	require.False(t, recent.Set{}.Has(4))
	require.True(t, recent.Set{}.Empty())
	require.False(t, recent.Set{All: true}.Empty())
}

func TestUpstreamIsRecentForThePeriod(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tracker := recent.NewTracker(time.Second)
	tracker.Note(now, 1)
	tracker.Clear()
	tracker.Note(now, 2)
	tracker.Note(now.Add(500*time.Millisecond), 3)
	require.Equal(t, []uint64{2, 3}, tracker.Recent(now.Add(999*time.Millisecond)).Incarnations)
	require.Equal(t, []uint64{3}, tracker.Recent(now.Add(time.Second)).Incarnations)
	require.True(t, tracker.Recent(now.Add(2*time.Second)).Empty())
	for n := range uint64(1000) {
		tracker.Note(now.Add(2*time.Second), n)
	}
	require.True(t, tracker.Recent(now.Add(2*time.Second)).All)
}
