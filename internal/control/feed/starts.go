package feed

import (
	"context"
	"sync"
	"time"
)

const (
	// maxStarts is the number of first states that are encoded or sent at the same time. Further
	// balancers wait in order. If all were served at once, each would receive its state after the poll
	// has timed out, and request it anew. A poll that waited for its whole hold still has 700 ms:
	// enough for this many first states of 40 ms each.
	maxStarts = 16
	// startTimeout bounds the time for which a response occupies a place: a balancer that lost power
	// does not receive, and the response blocks.
	startTimeout = time.Second
)

// startingResponse is a response that occupies one of maxStarts places until it is sent.
type startingResponse struct {
	Response
	release func()
}

// Sent implements rpc.Sent.
func (r startingResponse) Sent() {
	if r.release != nil {
		r.release()
	}
}

// serveSince answers a poll that arrived by RPC. The first state of a balancer waits for one of maxStarts
// places, for as long as the poll may be held.
func (f *Feed) serveSince(ctx context.Context, req Request) (startingResponse, error) {
	if !req.AcceptsBusy || !f.needsFirstState(req) {
		return startingResponse{Response: f.Since(ctx, req)}, nil
	}
	wait, cancel := context.WithTimeout(ctx, req.Hold)
	defer cancel()
	if err := f.starts.Acquire(wait, 1); err != nil {
		return startingResponse{Response: f.busy()}, nil
	}
	free := sync.OnceFunc(func() { f.starts.Release(1) })
	timeout := time.AfterFunc(startTimeout, free)
	resp, _, _ := f.respond(req)
	return startingResponse{Response: resp, release: func() {
		timeout.Stop()
		free()
	}}, nil
}

// needsFirstState reports whether the response to a poll holds all upstreams and is sent at once.
func (f *Feed) needsFirstState(req Request) bool { return req.Encoded && req.Life != f.life }

// busy returns the response to a poll that got no place in time.
func (f *Feed) busy() Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstStates.busy++
	return Response{Busy: true, Members: f.voterAddresses, Zone: f.zone}
}
