package pending_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/pending"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func take(w *pending.Buffer[int, string], now time.Time) []string {
	var out []string
	w.Drain(now, func(_ time.Time, s string) { out = append(out, s) })
	return out
}

func TestNewestPacketOfKeyIsKept(t *testing.T) {
	w := pending.New[int, string]()
	w.Add(epoch, epoch, 1, "opening")
	w.Add(epoch, epoch, 2, "other")
	w.Add(epoch.Add(200*time.Millisecond), epoch.Add(200*time.Millisecond), 1, "copy")
	require.Equal(t, []string{"copy", "other"}, take(w, epoch.Add(300*time.Millisecond)))
	require.Zero(t, w.Len())
}

func TestExpiredPacketsAreNotPlaced(t *testing.T) {
	w := pending.New[int, string]()
	w.Add(epoch, epoch, 1, "old")
	w.Add(epoch.Add(900*time.Millisecond), epoch.Add(900*time.Millisecond), 2, "new")
	require.Equal(t, []string{"new"}, take(w, epoch.Add(1100*time.Millisecond)))
}

// Guards against packets of a flow with an unknown upstream staying in the buffer forever.
// Such a packet is taken, cannot be placed and is kept again; it must not lose its age.
func TestPacketKeptAgainRetainsItsAge(t *testing.T) {
	w := pending.New[int, string]()
	w.Add(epoch, epoch, 1, "lost")
	for n := range 12 {
		now := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
		w.Drain(now, func(arrived time.Time, s string) { w.Add(now, arrived, 1, s) })
	}
	require.Zero(t, w.Len())
}

func TestRemovedPacketIsNotPlaced(t *testing.T) {
	w := pending.New[int, string]()
	w.Add(epoch, epoch, 1, "opening")
	w.Add(epoch, epoch, 2, "other")
	w.Remove(1)
	w.Remove(3)
	require.Equal(t, 1, w.Len())
	require.Equal(t, []string{"other"}, take(w, epoch))
}

func TestCapacityIsBounded(t *testing.T) {
	w := pending.New[int, string]()
	n := 0
	for w.Add(epoch, epoch, n, "") {
		n++
		require.Less(t, n, 10_000)
	}
	later := epoch.Add(2 * time.Second)
	require.True(t, w.Add(later, later, n, ""), "expired packets free space")
}
