package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/relay"
)

// content is a source with a configuration revision as its only state.
type content struct {
	mu       sync.Mutex
	revision uint64
	leaving  bool
}

func (c *content) Updates(_ time.Time, req relay.Request) (relay.Response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return relay.Response{Revision: c.revision}, c.revision > req.Revision
}

func (c *content) ShuttingDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

func (c *content) set(revision uint64, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.leaving = revision, leaving
}

func TestPollWithUpdatesIsAnsweredImmediately(t *testing.T) {
	c := &content{revision: 7}
	r := relay.New(c, time.Now, 4)
	a, err := r.Since(t.Context(), relay.Request{From: "b1", Hold: time.Hour})
	require.NoError(t, err)
	require.Equal(t, uint64(7), a.Revision)
}

func TestPollWaitsForUpdates(t *testing.T) {
	for _, c := range []struct {
		name string
		wake func(r *relay.Relay)
	}{
		{"a configuration", (*relay.Relay).NotifyNow},
		{"upstreams", (*relay.Relay).NotifyNotices},
		{"suspicions", (*relay.Relay).NotifySuspicions},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &content{}
			r := relay.New(x, time.Now, 4)
			responses := make(chan relay.Response)
			go func() {
				a, err := r.Since(context.Background(), relay.Request{From: "b1", Hold: time.Hour})
				if err == nil {
					responses <- a
				}
			}()
			require.Eventually(t, func() bool { return r.Followers() == 1 }, 20*time.Second, time.Millisecond)
			x.set(7, false)
			// A second signal before the first wake-up must have no effect. The wake-up comes
			// within noticeInterval.
			c.wake(r)
			c.wake(r)
			require.Equal(t, uint64(7), (<-responses).Revision)
		})
	}
}

func TestPollEndsAfterHold(t *testing.T) {
	r := relay.New(&content{}, time.Now, 4)
	a, err := r.Since(t.Context(), relay.Request{From: "b1", Hold: 10 * time.Millisecond})
	require.NoError(t, err)
	require.GreaterOrEqual(t, a.Held, 10*time.Millisecond)
}

// Most balancers of a level fail, and all balancers of the next level follow the remaining one.
// If it accepted them all, its narrow link would be full and they would receive changes late.
func TestFollowersAreBounded(t *testing.T) {
	r := relay.New(&content{revision: 1}, time.Now, 4)
	for i := range 4 {
		_, err := r.Since(t.Context(), relay.Request{From: fmt.Sprint("b", i)})
		require.NoError(t, err)
	}
	_, err := r.Since(t.Context(), relay.Request{From: "b9"})
	var full *relay.FullError
	require.ErrorAs(t, err, &full)
	require.Equal(t, 4, full.Followers)
	_, err = r.Since(t.Context(), relay.Request{From: "b0"})
	require.NoError(t, err, "current followers are still answered")
}

// A parent was stopped as planned, but the held polls of its followers ended only when its
// process exited. The followers received no updates for a second.
func TestShutdownEndsHeldPolls(t *testing.T) {
	c := &content{}
	r := relay.New(c, time.Now, 4)
	failed := make(chan error)
	go func() {
		_, err := r.Since(context.Background(), relay.Request{From: "b1", Hold: time.Hour})
		failed <- err
	}()
	require.Eventually(t, func() bool { return r.Followers() == 1 }, 20*time.Second, time.Millisecond)
	c.set(0, true)
	r.NotifyNow()
	var leaving *relay.LeavingError
	require.ErrorAs(t, <-failed, &leaving)
}

// updating is a source that always has updates, none of them a configuration.
type updating struct{ content }

func (*updating) Updates(time.Time, relay.Request) (relay.Response, bool) {
	return relay.Response{}, true
}

// Hundreds of upstreams fail together, and each response is followed by the next poll. Responses
// must be batched, or polls and responses follow each other continuously.
func TestBurstOfUpdatesIsBatched(t *testing.T) {
	r := relay.New(&updating{}, time.Now, 4)
	const responses, least = 5, 40 * time.Millisecond
	started := time.Now()
	for range responses {
		_, err := r.Since(t.Context(), relay.Request{From: "b1", Hold: time.Hour})
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, time.Since(started), (responses-1)*least)
}
