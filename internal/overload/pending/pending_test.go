package pending_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/pending"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drain(b *pending.Buffer[int, string], now time.Time) []string {
	var out []string
	b.Drain(now, func(_ time.Time, s string) { out = append(out, s) })
	return out
}

func TestNewestPacketOfKeyIsKept(t *testing.T) {
	b := pending.New[int, string]()
	b.Add(epoch, epoch, 1, "opening")
	b.Add(epoch, epoch, 2, "other")
	b.Add(epoch.Add(200*time.Millisecond), epoch.Add(200*time.Millisecond), 1, "retransmission")
	require.Equal(t, []string{"retransmission", "other"}, drain(b, epoch.Add(300*time.Millisecond)))
	require.Zero(t, b.Len())
}

func TestExpiredPacketsAreNotDrained(t *testing.T) {
	b := pending.New[int, string]()
	b.Add(epoch, epoch, 1, "old")
	b.Add(epoch.Add(900*time.Millisecond), epoch.Add(900*time.Millisecond), 2, "new")
	require.Equal(t, []string{"new"}, drain(b, epoch.Add(1100*time.Millisecond)))
}

// A packet of a flow with an unknown upstream is drained, cannot be placed and is buffered again.
// The packet must keep its age; otherwise it stays in the buffer forever.
func TestPacketBufferedAgainRetainsItsAge(t *testing.T) {
	b := pending.New[int, string]()
	b.Add(epoch, epoch, 1, "lost")
	for n := range 12 {
		now := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
		b.Drain(now, func(arrived time.Time, s string) { b.Add(now, arrived, 1, s) })
	}
	require.Zero(t, b.Len())
}

func TestRemovedPacketIsNotDrained(t *testing.T) {
	b := pending.New[int, string]()
	b.Add(epoch, epoch, 1, "opening")
	b.Add(epoch, epoch, 2, "other")
	b.Remove(1)
	b.Remove(3)
	require.Equal(t, 1, b.Len())
	require.Equal(t, []string{"other"}, drain(b, epoch))
}

func TestCapacityIsBounded(t *testing.T) {
	b := pending.New[int, string]()
	n := 0
	for b.Add(epoch, epoch, n, "") {
		n++
		require.Less(t, n, 10_000)
	}
	later := epoch.Add(2 * time.Second)
	require.True(t, b.Add(later, later, n, ""), "expired packets free space")
}
