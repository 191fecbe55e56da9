package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/silence/verdicts"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/wire/rpc"
)

// SinceMethod is the RPC method by which a balancer polls its parent.
const SinceMethod = "Relay.Since"

const (
	// followerExpiry is how long a balancer counts as a follower after its last poll.
	followerExpiry = 2 * time.Second
	// noticeInterval is the minimum time between two wake-ups for upstream notices; voters have a
	// similar limit. Without it, five voters would wake all followers up to fifty times a second.
	// With three levels of balancers, a departure reaches all balancers within a second.
	noticeInterval = 250 * time.Millisecond
	// suspicionDelay is how long a response with suspicions of one voter waits for the suspicions
	// of other voters, which receive the same reports within some milliseconds.
	suspicionDelay = 10 * time.Millisecond
	// responseInterval is the minimum time between two responses with updates to a follower. It
	// does not apply to configurations and evacuations. Without it, hundreds of upstreams that
	// fail together would cause a continuous exchange of polls and responses.
	responseInterval = 50 * time.Millisecond
)

// Request is a follower's poll.
type Request struct {
	// From is the RPC address of the follower.
	From string
	// Hold is how long the poll may be held when there are no updates.
	Hold time.Duration
	// Revision is the newest configuration revision known to the follower.
	Revision uint64
	// Fleet is the version of the last balancer list received from this parent.
	Fleet uint64
	// Known is the follower's version of each voter's state.
	Known []origins.VoterVersion
	// Evacuations is the revision of the follower's evacuation orders.
	Evacuations uint64
	// TakesUneven requests the voters' verdicts on uneven upstreams, and Uneven names those that the
	// follower holds. A parent that does not know these fields ignores them.
	TakesUneven bool             `cbor:",omitempty"`
	Uneven      []verdicts.Known `cbor:",omitempty"`
	// Claims is the ClaimsDigest that the follower received last, nil if it knows no claims.
	Claims *uint64 `cbor:",omitempty"`
	// Starting requests Recent.
	Starting bool `cbor:",omitempty"`
}

// Response contains what a follower lacks.
type Response struct {
	// Revision is the revision of this balancer's configuration, or a newer announced revision that
	// it has failed to fetch for some time.
	Revision uint64
	// Origins holds the updates from the voters.
	Origins []origins.Update
	// Voters holds the RPC addresses of all known voters.
	Voters []string
	// Fleet lists the balancers of the zone, nil if the follower has the current version.
	Fleet        []member.Member `cbor:",omitempty"`
	FleetVersion uint64
	// Held is how long this balancer held the poll. The follower adds the rest of the round-trip
	// time to the age of the updates.
	Held time.Duration
	// Balancers is the number of known balancers in all zones.
	Balancers int `cbor:",omitempty"`
	// Evacuations holds the evacuation orders if they are newer than those of the follower.
	Evacuations *evacuation.Evacuations `cbor:",omitempty"`
	// Uneven holds the voters' verdicts on uneven upstreams if the follower requests them.
	Uneven []verdicts.Update `cbor:",omitempty"`
	// Claims holds all claims on shared cookies that this balancer knows, if ClaimsDigest, which
	// identifies them, differs from that in the request.
	Claims       []claims.Claim `cbor:",omitempty"`
	ClaimsDigest uint64         `cbor:",omitempty"`
	// Recent lists the upstreams that this balancer has known for a short time only.
	Recent *recent.Set `cbor:",omitempty"`
}

// FullError is returned if this balancer has the maximum number of followers.
type FullError struct{ Followers int }

func (e *FullError) Error() string {
	return fmt.Sprintf("this balancer already has %d followers; follow another one", e.Followers)
}

// LeavingError is returned if this balancer is shutting down.
type LeavingError struct{}

func (*LeavingError) Error() string { return "this balancer is shutting down; follow another one" }

// Source provides the state that is relayed.
type Source interface {
	// Updates answers a poll, and reports whether the response contains updates for the follower.
	Updates(now time.Time, req Request) (Response, bool)
	// ShuttingDown reports whether the balancer is shutting down.
	ShuttingDown() bool
}

// Relay holds the polls of followers until there are updates. It is safe for concurrent use.
type Relay struct {
	source       Source
	clock        func() time.Time
	maxFollowers int
	mu           sync.Mutex
	// changed is closed and replaced to wake the held polls.
	changed chan struct{}
	// lastWake is when held polls were last woken. nextWake is when the next wake-up is
	// scheduled, or zero.
	lastWake, nextWake time.Time
	// lastRequest is the time of each follower's last poll, and lastUpdate the time of the last
	// response with updates to each follower.
	lastRequest, lastUpdate map[string]time.Time
}

// New returns a relay that accepts at most maxFollowers followers.
func New(c Source, clock func() time.Time, maxFollowers int) *Relay {
	return &Relay{
		source: c, clock: clock, maxFollowers: maxFollowers, changed: make(chan struct{}), lastRequest: map[string]time.Time{},
		lastUpdate: map[string]time.Time{},
	}
}

// Serve registers the relay's method at a server.
func (r *Relay) Serve(s *rpc.Server, token string) {
	rpc.Handle(s, SinceMethod, token, r.Since)
}

// Since answers a poll as soon as there are updates. If there are none, it answers at the end of
// the poll's hold.
func (r *Relay) Since(ctx context.Context, req Request) (Response, error) {
	received := r.clock()
	if err := r.admit(received, req.From); err != nil {
		return Response{}, err
	}
	hold := time.NewTimer(req.Hold)
	defer hold.Stop()
	for {
		changed := r.changedChannel()
		now := r.clock()
		resp, updated := r.source.Updates(now, req)
		resp.Held = now.Sub(received)
		pause := r.responseDelay(now, req, resp, updated)
		if updated && pause <= 0 {
			return resp, nil
		}
		if r.source.ShuttingDown() {
			return Response{}, &LeavingError{}
		}
		select {
		case <-timerAfter(pause):
		case <-changed:
		case <-hold.C:
			now = r.clock()
			resp, _ = r.source.Updates(now, req)
			resp.Held = now.Sub(received)
			return resp, nil
		case <-ctx.Done():
			return resp, nil
		}
	}
}

// responseDelay returns how long a response must wait. The result is 0 if the response has no
// updates or may be sent now. In the latter case, responseDelay records the time of the response.
func (r *Relay) responseDelay(now time.Time, req Request, resp Response, updated bool) time.Duration {
	if !updated {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.Revision <= req.Revision && resp.Evacuations == nil {
		if pause := r.lastUpdate[req.From].Add(responseInterval).Sub(now); pause > 0 {
			return pause
		}
	}
	r.lastUpdate[req.From] = now
	return 0
}

// timerAfter returns a timer channel, or nil if there is no delay.
func timerAfter(pause time.Duration) <-chan time.Time {
	if pause <= 0 {
		return nil
	}
	return time.After(pause)
}

// admit records a poll. It rejects a new follower if this balancer has the maximum number of
// followers.
func (r *Relay) admit(now time.Time, from string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, follows := r.lastRequest[from]; !follows && r.countFollowers(now) >= r.maxFollowers {
		return &FullError{Followers: len(r.lastRequest)}
	}
	r.lastRequest[from] = now
	return nil
}

func (r *Relay) countFollowers(now time.Time) int {
	for name, last := range r.lastRequest {
		if now.Sub(last) > followerExpiry {
			delete(r.lastRequest, name)
			delete(r.lastUpdate, name)
		}
	}
	return len(r.lastRequest)
}

// Followers returns the number of balancers that follow this one.
func (r *Relay) Followers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countFollowers(r.clock())
}

func (r *Relay) changedChannel() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// NotifyNotices wakes the followers for upstream notices.
func (r *Relay) NotifyNotices() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeAt(r.lastWake.Add(noticeInterval))
}

// NotifySuspicions wakes the followers for changed suspicions.
func (r *Relay) NotifySuspicions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeAt(r.clock().Add(suspicionDelay))
}

// NotifyNow wakes the followers immediately.
func (r *Relay) NotifyNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(r.clock())
}

// wakeAt schedules a wake-up, unless an earlier one is scheduled. The caller holds the lock.
func (r *Relay) wakeAt(at time.Time) {
	now := r.clock()
	if !at.After(now) {
		r.wake(now)
		return
	}
	if r.nextWake.After(now) && !r.nextWake.After(at) {
		return
	}
	r.nextWake = at
	time.AfterFunc(at.Sub(now), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.nextWake.Equal(at) {
			r.wake(r.clock())
		}
	})
}

func (r *Relay) wake(now time.Time) {
	r.lastWake, r.nextWake = now, time.Time{}
	close(r.changed)
	r.changed = make(chan struct{})
}
