package meter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/meter"
)

func TestRateFollowsAmounts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := meter.New(250 * time.Millisecond)
	require.Zero(t, m.Rate(now))
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		m.Add(now, 1000)
	}
	require.InDelta(t, 100_000, m.Rate(now), 3000)
	require.InDelta(t, 100_000/2.72, m.Rate(now.Add(250*time.Millisecond)), 3000)
	require.Less(t, m.Rate(now.Add(3*time.Second)), 10.0)
}
