package pacing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/pacing"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestFirstUpdateIsSentImmediately(t *testing.T) {
	var p pacing.Pacer
	due, schedule := p.Schedule(epoch, 50*time.Millisecond)
	require.True(t, schedule)
	require.Equal(t, epoch, due)
}

// Hundreds of upstreams fail together. The updates must be sent in one response per pause, not in
// one response each.
func TestBurstIsSentOncePerPause(t *testing.T) {
	var p pacing.Pacer
	sends := 0
	for ms := range 1000 {
		if due, _ := p.Schedule(at(ms), 50*time.Millisecond); !due.After(at(ms)) {
			p.Sent(at(ms))
			sends++
		}
	}
	require.Equal(t, 20, sends)
}

func TestOneSendIsScheduledForAllUpdates(t *testing.T) {
	var p pacing.Pacer
	p.Schedule(epoch, 50*time.Millisecond)
	p.Sent(epoch)
	due, schedule := p.Schedule(at(10), 50*time.Millisecond)
	require.True(t, schedule)
	require.Equal(t, at(50), due)
	due, schedule = p.Schedule(at(20), 50*time.Millisecond)
	require.False(t, schedule)
	require.Equal(t, at(50), due)
}
