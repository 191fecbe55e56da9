package concurrency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/concurrency"
)

func TestLimitIsShareOfSlots(t *testing.T) {
	for _, c := range []struct {
		slots, balancers, ordinary, urgent int
	}{{240, 70, 10, 27}, {28, 9, 9, 24}, {42000, 3200, 39, 105}, {6, 30, 6, 6}} {
		s := concurrency.SharedSlots{Slots: c.slots, Balancers: c.balancers}
		limit, known := s.Limit(false)
		require.True(t, known)
		require.Equal(t, c.ordinary, limit)
		limit, _ = s.Limit(true)
		require.Equal(t, c.urgent, limit)
	}
	_, known := concurrency.SharedSlots{Slots: 240}.Limit(true)
	require.False(t, known, "no limit without a known number of balancers")
}

func TestAverageIgnoresShortPeaks(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var average concurrency.InFlightAverage
	require.False(t, average.Update(now, 3, 10))
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		require.False(t, average.Update(now, 14, 10), "0.1 s")
	}
	for range 70 {
		now = now.Add(10 * time.Millisecond)
		average.Update(now, 14, 10)
	}
	require.True(t, average.Update(now, 14, 10), "0.8 s")
	require.False(t, average.Update(now, 9, 10), "the current number is below the limit")
}
