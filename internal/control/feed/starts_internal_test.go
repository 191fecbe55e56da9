package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/upstream/directory"
)

func firstPoll() Request {
	return Request{From: "b", Encoded: true, Recalled: true, AcceptsBusy: true, Hold: 800 * time.Millisecond}
}

// fullFeed returns a feed whose places for starting balancers are all taken, and the responses that
// occupy them.
func fullFeed(t *testing.T) (*Feed, []startingResponse) {
	f := New(1, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), time.Now)
	f.SetVoters([]string{"v1", "v2"})
	var all []startingResponse
	for range maxStarts {
		a, err := f.serveSince(t.Context(), firstPoll())
		require.NoError(t, err)
		require.False(t, a.Busy)
		all = append(all, a)
	}
	return f, all
}

// Guards against a voter that serves all starting balancers at once, so that each receives its state
// after its poll has timed out and requests it anew.
func TestStartingBalancersWaitForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all := fullFeed(t)
		time.AfterFunc(100*time.Millisecond, all[0].Sent)
		begun := time.Now()
		a, err := f.serveSince(t.Context(), firstPoll())
		require.NoError(t, err)
		require.False(t, a.Busy)
		require.Equal(t, uint64(1), a.Life)
		require.Equal(t, 100*time.Millisecond, time.Since(begun))
		a, err = f.serveSince(t.Context(), firstPoll())
		require.NoError(t, err)
		require.True(t, a.Busy, "no place in time")
		require.Zero(t, a.Life, "the balancer must not take this response for a state")
		require.Equal(t, []string{"v1", "v2"}, a.Members)
		require.Equal(t, 900*time.Millisecond, time.Since(begun))
	})
}

// Guards against starting balancers that nobody serves because others lost power while they received.
func TestPlacesOfBalancersThatDoNotReceiveAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all := fullFeed(t)
		time.Sleep(startTimeout)
		synctest.Wait()
		for range maxStarts {
			a, err := f.serveSince(t.Context(), firstPoll())
			require.NoError(t, err)
			require.False(t, a.Busy)
		}
		all[0].Sent()
		a, err := f.serveSince(t.Context(), firstPoll())
		require.NoError(t, err)
		require.True(t, a.Busy, "a response that is sent late does not release a second place")
	})
}

// Guards against polls that wait for a place and delay voters, balancers of earlier versions, or
// balancers that already have a state.
func TestOnlyFirstStatesWaitForAPlace(t *testing.T) {
	f, _ := fullFeed(t)
	for name, change := range map[string]func(*Request){
		"earlier version": func(q *Request) { q.AcceptsBusy = false },
		"known state":     func(q *Request) { q.Life = 1 },
	} {
		q := firstPoll()
		q.Hold = time.Millisecond
		change(&q)
		a, err := f.serveSince(t.Context(), q)
		require.NoError(t, err)
		require.False(t, a.Busy, name)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	a, err := f.serveSince(canceled, firstPoll())
	require.NoError(t, err)
	require.True(t, a.Busy, "a balancer that has gone takes no place")
}
