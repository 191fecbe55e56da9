package backlog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/backlog"
	"wasabideal/internal/overload/uplink"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func never(int) bool { return false }

func always(int) bool { return true }

func TestOpeningsWaitForAdmission(t *testing.T) {
	var b backlog.Backlog[int, string]
	require.True(t, b.Push(epoch, 1, "first"))
	require.True(t, b.Push(after(10), 2, "second"))
	require.True(t, b.Push(after(20), 1, "retransmission"), "the same key is already queued")
	require.False(t, b.Push(after(20), 3, "third"), "the queue is full")
	admitted, expired := b.Dispatch(after(50), never)
	require.Empty(t, admitted)
	require.Empty(t, expired)
	admitted, _ = b.Dispatch(after(60), func(key int) bool { return key == 1 })
	require.Equal(t, []string{"first"}, admitted)
	_, expired = b.Dispatch(after(160), never)
	require.Equal(t, []string{"second"}, expired)
	require.Zero(t, b.Len())
	b.Push(after(200), 4, "fourth")
	admitted, expired = b.Dispatch(after(500), always)
	require.Equal(t, []string{"fourth"}, admitted, "an opening that can be admitted is not expired")
	require.Empty(t, expired)
}

// Uploads arrive in bursts at a link of 2 Mbit/s that carries two at once and is busy for a third
// of the time. When openings beyond the two were rejected at once, one upload in 60 was rejected by
// three balancers in a row, although an earlier upload ended soon after.
func TestQueuedUploadsAreNotRejected(t *testing.T) {
	const (
		uploads = 400
		// every and lasts are in milliseconds, as are all times below.
		every = 300
		lasts = 280
	)
	rejected := func(wait bool) int {
		link := uplink.New[int, string](250_000)
		var b backlog.Backlog[int, int]
		ends := map[int]int{}
		admit := func(now int) func(int) bool {
			return func(key int) bool {
				if !link.Admit(after(now), key) {
					return false
				}
				ends[key] = now + lasts
				return true
			}
		}
		n, at := 0, map[int][]int{}
		for key := range uploads {
			// Openings arrive in bursts: three within 160 ms, then none until the next burst.
			at[(key/3)*3*every+key%3*80] = append(at[(key/3)*3*every+key%3*80], key)
		}
		for now := 0; now < uploads*every+1000; now += 10 {
			for key, end := range ends {
				if now >= end {
					link.Remove(key)
					delete(ends, key)
					continue
				}
				link.Enqueue(after(now), uplink.Packet[int, string]{Flow: key, Sequence: uint32(now), Length: 1, Size: 0})
			}
			_, expired := b.Dispatch(after(now), admit(now))
			n += len(expired)
			for _, key := range at[now] {
				if !admit(now)(key) && (!wait || !b.Push(after(now), key, key)) {
					n++
				}
			}
		}
		return n
	}
	require.Greater(t, rejected(false), uploads/4)
	require.Zero(t, rejected(true))
}
