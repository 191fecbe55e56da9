package handover_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/handover"
)

const delay = 150 * time.Millisecond

// An upstream announces itself again if the acknowledgement takes longer than a second or than
// the announcement interval. The batch delays must add up to less than both.
func TestBatchDelaysAddUpToLessThanASecond(t *testing.T) {
	const interval = 1200 * time.Millisecond
	for level := range 5 {
		all := handover.BatchDelay(interval, level, true)
		for higher := range level {
			all += handover.BatchDelay(interval, higher, false)
		}
		require.LessOrEqual(t, all, 800*time.Millisecond)
	}
}

// sent records the batches that were sent.
type sent struct {
	mu      sync.Mutex
	batches [][]handover.Announcement
	err     error
}

func (s *sent) send(_ context.Context, all []handover.Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches = append(s.batches, all)
	return s.err
}

func announcement(incarnation, sequence uint64) handover.Announcement {
	return handover.Announcement{Upstream: upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: incarnation}, Sequence: sequence,
	}}
}

// concurrently runs functions concurrently and waits for them.
func concurrently(fs ...func()) {
	var w sync.WaitGroup
	for _, f := range fs {
		w.Go(f)
	}
	w.Wait()
}

// 3,000 upstreams announce themselves. With a call for each announcement, voters answer late.
func TestAnnouncementsAreSentInBatches(t *testing.T) {
	s := &sent{}
	h := handover.New(time.Now, s.send)
	var fs []func()
	for i := range uint64(10) {
		fs = append(fs, func() { require.NoError(t, h.Add(t.Context(), delay, announcement(i+1, 1))) })
	}
	concurrently(append(fs, func() {
		require.NoError(t, h.Add(t.Context(), 2*delay, announcement(20, 1), announcement(21, 1)))
	})...)
	all := 0
	for _, b := range s.batches {
		all += len(b)
	}
	require.Equal(t, 12, all)
	require.LessOrEqual(t, len(s.batches), 2, "one batch, or two on a slow machine")
}

func TestOnlyTheLatestAnnouncementOfAnUpstreamIsSent(t *testing.T) {
	s := &sent{}
	h := handover.New(time.Now, s.send)
	concurrently(
		func() {
			require.NoError(t, h.Add(t.Context(), delay, announcement(1, 8), announcement(1, 7)))
		},
	)
	require.Len(t, s.batches, 1)
	require.Len(t, s.batches[0], 1)
	require.Equal(t, uint64(8), s.batches[0][0].Upstream.Sequence)
	require.GreaterOrEqual(t, s.batches[0][0].Age, 100*time.Millisecond, "the age includes the batch delay")
}

// A balancer cannot send announcements to any voter. If it acknowledged them all the same, the
// upstream would count as silent.
func TestAnnouncementsThatCannotBeSentAreNotAcknowledged(t *testing.T) {
	failed := errors.New("no voter answers")
	h := handover.New(time.Now, (&sent{err: failed}).send)
	require.ErrorIs(t, h.Add(t.Context(), delay, announcement(1, 1)), failed)
}

func TestAddReturnsWhenItsContextIsCancelled(t *testing.T) {
	h := handover.New(time.Now, (&sent{}).send)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, h.Add(ctx, delay, announcement(1, 1)), context.Canceled)
}
