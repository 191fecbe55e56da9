package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/wire/rpc"
)

// SinceMethod is the call by which a balancer asks another one for news.
const SinceMethod = "Relay.Since"

const (
	// followerFor is how long a balancer counts as a follower after its last question.
	followerExpiry = 2 * time.Second
	// gatherNotices is the least time between two answers with news of upstreams, as at
	// a voter: five voters would wake all followers up to fifty times a second. With three
	// levels below the voters a departure is known everywhere within a second.
	noticeInterval = 250 * time.Millisecond
	// gatherDoubts is how long an answer with doubts waits for those of other voters,
	// which hear the same reports within some milliseconds.
	suspicionDelay = 10 * time.Millisecond
	// answerPause is the least time between two answers with news to a follower, but for those
	// of configurations and evacuations: while hundreds of upstreams fall silent together each
	// answer would be followed by the next question and the next answer at once.
	answerInterval = 50 * time.Millisecond
)

// Question is what a balancer asks another one.
type Question struct {
	// From is the call address of the balancer that asks.
	From string
	// Hold is how long the answer may wait for news.
	Hold time.Duration
	// Revision is the newest configuration that it has heard of.
	Revision uint64
	// Fleet is the version of the list of balancers that it was given here last.
	Fleet uint64
	// Known is how far it has heard the voters.
	Known []origins.Known
	// Evacuations is the revision of the orders for availability zones that it holds.
	Evacuations uint64
}

// Answer brings a balancer up to date.
type Answer struct {
	// Revision is that of the configuration in force here, or of a newer one that this balancer
	// has heard of for some time and cannot get.
	Revision uint64
	// Origins are what the voters said.
	Origins []origins.Origin
	// Voters are the call addresses of all voters known here.
	Voters []string
	// Fleet are the balancers of the zone, nil where they were told before.
	Fleet        []member.Member `cbor:",omitempty"`
	FleetVersion uint64
	// Held is how long the question waited here: the rest of the time until the answer
	// arrived adds to the age of what it says.
	Held time.Duration
	// Balancers is how many balancers of all zones are known here.
	Balancers int `cbor:",omitempty"`
	// Evacuations are the orders for availability zones, where they are newer than held.
	Evacuations *evacuation.Evacuations `cbor:",omitempty"`
}

// FullError says that enough balancers follow this one.
type FullError struct{ Followers int }

func (e *FullError) Error() string {
	return fmt.Sprintf("%d balancers follow this one; ask another", e.Followers)
}

// LeavingError says that this balancer stops.
type LeavingError struct{}

func (*LeavingError) Error() string { return "this balancer stops; follow another" }

// Content is what a balancer has heard.
type Content interface {
	// News answers a question, and says whether there is anything that the one who asks
	// does not know.
	News(now time.Time, q Question) (Answer, bool)
	// Leaving says that the balancer stops.
	Leaving() bool
}

// Relay lets followers wait for news; it is safe for concurrent use.
type Relay struct {
	content      Content
	clock        func() time.Time
	maxFollowers int
	mu           sync.Mutex
	changed      chan struct{}
	// woken is when followers were last woken, due when they will be next.
	lastWake, nextWake time.Time
	// asked is when each follower last asked, answered when it was last given news.
	lastRequest, lastUpdate map[string]time.Time
}

// New returns a relay that takes so many followers at the most.
func New(c Content, clock func() time.Time, maxFollowers int) *Relay {
	return &Relay{
		content: c, clock: clock, maxFollowers: maxFollowers, changed: make(chan struct{}), lastRequest: map[string]time.Time{},
		lastUpdate: map[string]time.Time{},
	}
}

// Serve adds the relay's method to a server.
func (r *Relay) Serve(s *rpc.Server, token string) {
	rpc.Handle(s, SinceMethod, token, r.Since)
}

// Since answers at once if there is news, else after the hold or with the news.
func (r *Relay) Since(ctx context.Context, q Question) (Answer, error) {
	begun := r.clock()
	if err := r.admit(begun, q.From); err != nil {
		return Answer{}, err
	}
	hold := time.NewTimer(q.Hold)
	defer hold.Stop()
	for {
		changed := r.changes()
		now := r.clock()
		a, news := r.content.News(now, q)
		a.Held = now.Sub(begun)
		pause := r.answerDelay(now, q, a, news)
		if news && pause <= 0 {
			return a, nil
		}
		if r.content.Leaving() {
			return Answer{}, &LeavingError{}
		}
		select {
		case <-timerAfter(pause):
		case <-changed:
		case <-hold.C:
			now = r.clock()
			a, _ = r.content.News(now, q)
			a.Held = now.Sub(begun)
			return a, nil
		case <-ctx.Done():
			return a, nil
		}
	}
}

// pause is how long an answer waits, 0 where it is given now or has no news.
func (r *Relay) answerDelay(now time.Time, q Question, a Answer, news bool) time.Duration {
	if !news {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Revision <= q.Revision && a.Evacuations == nil {
		if pause := r.lastUpdate[q.From].Add(answerInterval).Sub(now); pause > 0 {
			return pause
		}
	}
	r.lastUpdate[q.From] = now
	return 0
}

// after returns what is ready after a pause, never without one.
func timerAfter(pause time.Duration) <-chan time.Time {
	if pause <= 0 {
		return nil
	}
	return time.After(pause)
}

// admit counts a follower, if there is room for it.
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
	for name, asked := range r.lastRequest {
		if now.Sub(asked) > followerExpiry {
			delete(r.lastRequest, name)
			delete(r.lastUpdate, name)
		}
	}
	return len(r.lastRequest)
}

// Followers counts the balancers that follow this one.
func (r *Relay) Followers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countFollowers(r.clock())
}

func (r *Relay) changes() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// NewNotices lets followers know of upstreams that changed.
func (r *Relay) NewNotices() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeAt(r.lastWake.Add(noticeInterval))
}

// NewDoubts lets them know of other doubts.
func (r *Relay) NewDoubts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeAt(r.clock().Add(suspicionDelay))
}

// Wake lets them know at once.
func (r *Relay) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(r.clock())
}

// wakeAt wakes the followers at a time, or earlier if that is due anyway; the lock is held.
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
