package minimum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/metric/minimum"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestShortestOfTheWindow(t *testing.T) {
	w := minimum.New(100 * time.Millisecond)
	_, found := w.Shortest(start)
	require.False(t, found)
	w.Record(start, 7*time.Millisecond)
	w.Record(start, 9*time.Millisecond)
	shortest, found := w.Shortest(start)
	require.True(t, found)
	require.Equal(t, 7*time.Millisecond, shortest)
}

// Guards against a base that never rises after a path has become longer.
func TestOldDurationsAreForgotten(t *testing.T) {
	w := minimum.New(100 * time.Millisecond)
	w.Record(start, 7*time.Millisecond)
	w.Record(start.Add(90*time.Millisecond), 20*time.Millisecond)
	shortest, _ := w.Shortest(start.Add(95 * time.Millisecond))
	require.Equal(t, 7*time.Millisecond, shortest)
	shortest, found := w.Shortest(start.Add(160 * time.Millisecond))
	require.True(t, found)
	require.Equal(t, 20*time.Millisecond, shortest)
	_, found = w.Shortest(start.Add(time.Second))
	require.False(t, found)
}
