package feed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/bootstrap"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/upstream/directory"
)

const (
	// startingBalancers ask the voters of their settings, startingVoters, for their first state.
	startingBalancers, startingVoters = 985, 3
	// startCost is the processor time of one first state. A voter spends 4.9 s on those of a third of
	// the balancers, and a poll times out after startPollEnd.
	startCost    = 15 * time.Millisecond
	startPollEnd = 1500 * time.Millisecond
	// startBound is the time within which a configuration is to be in force.
	startBound = 6 * time.Second
)

// slowVoter spends startCost on each first state, one at a time, also if the balancer has gone.
type slowVoter struct {
	feed      *Feed
	processor chan struct{}
	// handling counts the polls whose processing has not ended.
	handling *sync.WaitGroup
}

func (v slowVoter) poll(ctx context.Context, req Request) (Response, bool) {
	done := make(chan Response, 1)
	v.handling.Go(func() {
		a, _ := v.feed.serveSince(ctx, req)
		if !a.Busy {
			v.processor <- struct{}{}
			time.Sleep(startCost)
			<-v.processor
		}
		a.Sent()
		done <- a.Response
	})
	select {
	case a := <-done:
		return a, true
	case <-ctx.Done():
		return Response{}, false
	}
}

// startingBalancer polls voters until one has sent a state.
type startingBalancer struct {
	mu        sync.Mutex
	sequencer bootstrap.Sequencer
}

func (b *startingBalancer) allow(voter string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sequencer.Allow(time.Now(), voter)
}

func (b *startingBalancer) record(voter string, answered, complete bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !answered {
		b.sequencer.RecordFailure(voter)
		return false
	}
	return b.sequencer.RecordResponse(voter, complete)
}

// start polls the voters as package follower does, and returns once one has sent a state or ctx is done.
func (b *startingBalancer) start(ctx context.Context, voters []slowVoter, req Request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var polling sync.WaitGroup
	for i, v := range voters {
		name := fmt.Sprint("voter-", i)
		polling.Go(func() {
			for ctx.Err() == nil {
				if !b.allow(name) {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				call, end := context.WithTimeout(ctx, startPollEnd)
				a, answered := v.poll(call, req)
				end()
				if b.record(name, answered, answered && !a.Busy) {
					cancel()
				}
			}
		})
	}
	polling.Wait()
}

// startFleet returns how many of startingBalancers have a state within startBound of their common start.
func startFleet(req Request) int {
	var voters []slowVoter
	var handling sync.WaitGroup
	for i := range startingVoters {
		d := directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour})
		voters = append(voters, slowVoter{feed: New(uint64(i+1), d, time.Now), processor: make(chan struct{}, 1), handling: &handling})
	}
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	var starting sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for n := range startingBalancers {
		starting.Go(func() {
			time.Sleep(time.Duration(n%300) * time.Millisecond)
			b := &startingBalancer{}
			// Balancers connect to the voters in any order.
			order := append(append([]slowVoter{}, voters[n%startingVoters:]...), voters[:n%startingVoters]...)
			b.start(ctx, order, req)
			mu.Lock()
			defer mu.Unlock()
			if b.sequencer.Done() {
				served++
			}
		})
	}
	starting.Wait()
	handling.Wait()
	return served
}

// Guards against a fleet that starts together and gets no configuration, because voters spend their
// processor time on states that arrive after their polls have timed out.
func TestWholeFleetStartsAtSlowVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		req := Request{From: "b", Encoded: true, Recalled: true, AcceptsBusy: true, Hold: 800 * time.Millisecond, Self: &member.Member{Zone: "a"}}
		require.Equal(t, startingBalancers, startFleet(req))
	})
}
