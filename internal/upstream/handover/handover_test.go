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

const gather = 150 * time.Millisecond

// Whatever level an upstream's balancer is on, the acknowledgement comes well within the
// second that upstreams wait, and within the time between two announcements.
func TestWaitsAddUpToLessThanASecond(t *testing.T) {
	const every = 1200 * time.Millisecond
	for level := range 5 {
		all := handover.Gather(every, level, true)
		for above := range level {
			all += handover.Gather(every, above, false)
		}
		require.LessOrEqual(t, all, 800*time.Millisecond)
	}
}

// sent keeps what was handed on.
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

// together runs some functions at once and waits for them.
func together(fs ...func()) {
	var w sync.WaitGroup
	for _, f := range fs {
		w.Go(f)
	}
	w.Wait()
}

// Symptom: voters were busy with the announcements of 3,000 upstreams, and answered late.
// Events: ten upstreams announce themselves to one balancer, and another hands on some.
// Cause: each announcement was a call to a voter.
func TestAnnouncementsAreHandedOnTogether(t *testing.T) {
	s := &sent{}
	h := handover.New(time.Now, s.send)
	var fs []func()
	for i := range uint64(10) {
		fs = append(fs, func() { require.NoError(t, h.Add(t.Context(), gather, announcement(i+1, 1))) })
	}
	together(append(fs, func() {
		require.NoError(t, h.Add(t.Context(), 2*gather, announcement(20, 1), announcement(21, 1)))
	})...)
	all := 0
	for _, b := range s.batches {
		all += len(b)
	}
	require.Equal(t, 12, all)
	require.LessOrEqual(t, len(s.batches), 2, "one, or two on a slow machine")
}

func TestTheNewestAnnouncementOfAnUpstreamIsHandedOn(t *testing.T) {
	s := &sent{}
	h := handover.New(time.Now, s.send)
	together(
		func() {
			require.NoError(t, h.Add(t.Context(), gather, announcement(1, 8), announcement(1, 7)))
		},
	)
	require.Len(t, s.batches, 1)
	require.Len(t, s.batches[0], 1)
	require.Equal(t, uint64(8), s.batches[0][0].Upstream.Sequence)
	require.GreaterOrEqual(t, s.batches[0][0].Age, 100*time.Millisecond, "it grew older while it waited")
}

// Symptom: an upstream was taken for silent though each announcement was acknowledged.
// Events: the balancer that it announces itself to cannot reach a voter.
// Cause: the balancer acknowledged what it had not handed on.
func TestWhatIsNotHandedOnIsNotAcknowledged(t *testing.T) {
	failed := errors.New("no voter answers")
	h := handover.New(time.Now, (&sent{err: failed}).send)
	require.ErrorIs(t, h.Add(t.Context(), gather, announcement(1, 1)), failed)
}

func TestCallerThatGivesUpIsLetGo(t *testing.T) {
	h := handover.New(time.Now, (&sent{}).send)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, h.Add(ctx, gather, announcement(1, 1)), context.Canceled)
}
