package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/log/ratelimit"
)

func TestSuppressedLinesAreCounted(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := ratelimit.New(2)
	for i, allowed := range []bool{true, true, false, false} {
		_, ok := l.Allow(now.Add(time.Duration(i) * 100 * time.Millisecond))
		require.Equal(t, allowed, ok)
	}
	suppressed, ok := l.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 2, suppressed)
	suppressed, ok = l.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.Zero(t, suppressed)
}
