package follower_test

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/rpctest"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/wire/rpc"
)

// voter answers polls as a real voter does.
type voter struct {
	address string
	feed    *feed.Feed
	history history.History
	mu      sync.Mutex
	fetched int
	// initialPolls counts the polls of balancers without any state from this voter.
	initialPolls int
	// stuck makes the voter hang on every configuration fetch.
	stuck bool
	// busy is the number of first polls that the voter answers as busy; it then lists itself and others.
	busy   int
	others []string
}

func startVoter(t *testing.T, life uint64) *voter {
	l := rpctest.Listen(t)
	v := &voter{
		address: l.Address(),
		history: history.New(8),
		feed:    feed.New(life, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), time.Now),
	}
	s := rpc.NewServer(func(string) {})
	rpc.Handle(s, feed.SinceMethod, "group", func(ctx context.Context, q feed.Request) (feed.Response, error) {
		v.mu.Lock()
		if q.Life == 0 {
			v.initialPolls++
		}
		busy := q.Life == 0 && v.initialPolls <= v.busy
		v.mu.Unlock()
		if busy {
			return feed.Response{Busy: true, Members: append([]string{v.address}, v.others...)}, nil
		}
		return v.feed.Since(ctx, q), nil
	})
	rpc.Handle(s, feed.ConfigurationMethod, "group", func(ctx context.Context, revision uint64) (history.Response, error) {
		v.mu.Lock()
		v.fetched++
		stuck := v.stuck
		v.mu.Unlock()
		if stuck {
			<-ctx.Done()
		}
		return v.feed.Configuration(revision), nil
	})
	l.Serve(t, s)
	return v
}

func (v *voter) publish(revision uint64) {
	v.history = v.history.With(configuration.Configuration{Revision: revision})
	v.feed.Publish(v.history)
}

func (v *voter) fetches() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fetched
}

// handler records what it receives.
type handler struct {
	mu      sync.Mutex
	current configuration.Configuration
	notices map[string]int
	// hasUpstreams is set by the first notice if tracksUpstreams is set.
	hasUpstreams, tracksUpstreams bool
	evacuations                   evacuation.Evacuations
	claims                        claims.Set
}

func (h *handler) Evacuations() evacuation.Evacuations {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuations
}

func (h *handler) Claims() claims.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claims
}

func (h *handler) OnClaims(_ string, all []claims.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims = h.claims.With(all...)
}

func (h *handler) OnRecent(recent.Set) {}

func (h *handler) OnEvacuations(_ string, e evacuation.Evacuations) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = e
}

func (h *handler) Configuration() configuration.Configuration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *handler) HasUpstreams() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasUpstreams
}

func (h *handler) OnConfiguration(_ string, c configuration.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = c
}

func (h *handler) OnVoterState(_ time.Time, x origins.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notices[x.Voter] += len(x.Notices)
	h.hasUpstreams = h.hasUpstreams || h.tracksUpstreams && len(x.Notices) > 0
}

func (h *handler) noticesFrom(address string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notices[address]
}

func startFollower(t *testing.T, addresses ...string) *handler {
	return startFollowerHolding(t, 1, addresses...)
}

// startFollowerHolding starts a follower that already holds a revision of the configuration; 0
// means none.
func startFollowerHolding(t *testing.T, revision uint64, addresses ...string) *handler {
	h := &handler{notices: map[string]int{}, current: configuration.Configuration{Revision: revision}}
	f := follower.New(follower.Settings{Token: "group", From: "balancer", Clock: time.Now}, h, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	f.Start(ctx, addresses)
	t.Cleanup(func() {
		cancel()
		f.Wait()
	})
	return h
}

func eventually(t *testing.T, f func() bool) {
	require.Eventually(t, f, 20*time.Second, 5*time.Millisecond)
}

// The configuration changes by 1,400 routes, over a link on which one response with the change
// takes half a second. Every voter's response used to carry the change ahead of the notices, and
// balancers received departures more than a second late.
func TestConfigurationIsFetchedFromOneVoter(t *testing.T) {
	a, b, c := startVoter(t, 1), startVoter(t, 2), startVoter(t, 3)
	h := startFollower(t, a.address, b.address, c.address)
	for revision := uint64(2); revision <= 4; revision++ {
		for _, v := range []*voter{a, b, c} {
			v.publish(revision)
		}
		eventually(t, func() bool { return h.Configuration().Revision == revision })
	}
	require.LessOrEqual(t, a.fetches()+b.fetches()+c.fetches(), 6, "one fetch per change or two in a race, not nine")
}

func TestStuckVoterDoesNotBlockConfiguration(t *testing.T) {
	a, b := startVoter(t, 1), startVoter(t, 2)
	a.stuck = true
	h := startFollower(t, a.address)
	a.publish(7)
	eventually(t, func() bool { return a.fetches() > 0 })
	a.feed.SetVoters([]string{a.address, b.address})
	b.publish(7)
	eventually(t, func() bool { return h.Configuration().Revision == 7 })
}

func TestNoticesDoNotWaitForConfiguration(t *testing.T) {
	a := startVoter(t, 1)
	a.stuck = true
	h := startFollower(t, a.address)
	a.publish(7)
	eventually(t, func() bool { return a.fetches() > 0 })
	a.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	eventually(t, func() bool { return h.noticesFrom(a.address) == 1 })
	require.Equal(t, uint64(1), h.Configuration().Revision)
}

// 81 balancers start without a configuration. Balancers used to poll for notices first, and only
// then to fetch the configuration that the responses announced: they became ready 90 ms after the
// first voter answered.
func TestFirstConfigurationArrivesWithNotices(t *testing.T) {
	a := startVoter(t, 1)
	a.stuck = true
	a.publish(7)
	a.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	h := startFollowerHolding(t, 0, a.address)
	eventually(t, func() bool { return h.noticesFrom(a.address) == 1 })
	require.Equal(t, uint64(7), h.Configuration().Revision, "the configuration is applied before the notices")
}

// A large configuration is fetched separately: the responses of several voters would fill a narrow
// link.
func TestLargeFirstConfigurationIsFetched(t *testing.T) {
	a := startVoter(t, 1)
	large := configuration.Configuration{Revision: 7}
	for n := range 1200 {
		large.Routes = append(large.Routes, configuration.Route{
			Name: fmt.Sprint("route-", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, 1}), uint16(n+1)),
		})
	}
	a.history = a.history.With(large)
	a.feed.Publish(a.history)
	h := startFollowerHolding(t, 0, a.address)
	eventually(t, func() bool { return h.Configuration().Revision == 7 })
	require.NotZero(t, a.fetches())
}

// testShape is the shape of the balancer tree in these tests.
var testShape = tree.Shape{Roots: 4, Fanout: 8}

// nonRootBalancer returns the address of a balancer below the roots of its zone, and heartbeats of all
// balancers of the zone.
func nonRootBalancer() (string, []members.Heartbeat) {
	var addresses []string
	var heartbeats []members.Heartbeat
	for n := range 20 {
		a := fmt.Sprintf("127.9.9.%d:7720", n+1)
		addresses = append(addresses, a)
		heartbeats = append(heartbeats, members.Heartbeat{Member: member.Member{Zone: "a", Address: a}})
	}
	for _, a := range addresses {
		if testShape.PlaceOf(a, addresses).Level > 0 {
			return a, heartbeats
		}
	}
	return "", nil
}

// startNonRoot starts a follower for a balancer below the roots of its zone.
func startNonRoot(t *testing.T, clock func() time.Time, self string, voters []string) (*follower.Follower, *handler) {
	h := &handler{notices: map[string]int{}, tracksUpstreams: true}
	f := follower.New(follower.Settings{
		Token: "group", From: "balancer", Clock: clock, Self: member.Member{Zone: "a", Address: self}, Shape: testShape, StaleAfter: time.Second,
	}, h, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	f.Start(ctx, voters)
	t.Cleanup(func() {
		cancel()
		f.Wait()
	})
	return f, h
}

// All VMs lose power, and a voter with an empty disk answers first. Any one response used to end
// the startup phase: balancers stayed unready for seconds although voters answered.
func TestVoterWithEmptyDiskDoesNotEndStartup(t *testing.T) {
	self, heartbeats := nonRootBalancer()
	empty, complete := startVoter(t, 1), startVoter(t, 2)
	for _, v := range []*voter{empty, complete} {
		v.feed.RecordFollowers(time.Now(), heartbeats)
	}
	complete.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	complete.publish(7)
	// The clock stands still, so the period after which all voters are polled never ends.
	frozen := time.Now()
	_, h := startNonRoot(t, func() time.Time { return frozen }, self, []string{empty.address, complete.address})
	eventually(t, func() bool { return h.Configuration().Revision == 7 && h.HasUpstreams() })
}

// All VMs of a large fleet lose power. Each balancer used to request all upstreams from every seed:
// balancers became ready 265 ms after the first voter, the earliest of them after 97 ms.
func TestStartupPollsOneVoter(t *testing.T) {
	self, heartbeats := nonRootBalancer()
	var voters []*voter
	var addresses []string
	for life := range uint64(3) {
		v := startVoter(t, life+1)
		v.feed.RecordFollowers(time.Now(), heartbeats)
		v.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
		v.publish(7)
		voters = append(voters, v)
		addresses = append(addresses, v.address)
	}
	f, h := startNonRoot(t, time.Now, self, addresses)
	eventually(t, func() bool { return h.Configuration().Revision == 7 })
	time.Sleep(100 * time.Millisecond)
	polls := 0
	for _, v := range voters {
		v.mu.Lock()
		polls += v.initialPolls
		v.mu.Unlock()
	}
	// A slow first voter, on a slow machine, causes a poll of a second one.
	require.LessOrEqual(t, polls, 2)
	require.Equal(t, 1, f.Level())
}

// Guards against a starting balancer that takes the answer of a busy voter for an empty state.
func TestBusyVoterIsPolledAgain(t *testing.T) {
	self, heartbeats := nonRootBalancer()
	v := startVoter(t, 1)
	v.busy = 3
	v.feed.RecordFollowers(time.Now(), heartbeats)
	v.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	v.publish(7)
	_, h := startNonRoot(t, time.Now, self, []string{v.address})
	eventually(t, func() bool { return h.Configuration().Revision == 7 && h.HasUpstreams() })
	v.mu.Lock()
	defer v.mu.Unlock()
	require.Equal(t, 4, v.initialPolls)
}

// Guards against a fleet that waits for the few voters of its settings while the other voters are idle.
func TestOtherVotersRelieveBusySeeds(t *testing.T) {
	self, heartbeats := nonRootBalancer()
	seed, other := startVoter(t, 1), startVoter(t, 2)
	seed.busy, seed.others = math.MaxInt, []string{other.address}
	other.feed.RecordFollowers(time.Now(), heartbeats)
	other.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	other.publish(7)
	// The clock stands still, so the period after which all voters are polled never ends.
	frozen := time.Now()
	_, h := startNonRoot(t, func() time.Time { return frozen }, self, []string{seed.address})
	eventually(t, func() bool { return h.Configuration().Revision == 7 && h.HasUpstreams() })
}

func TestEvacuationsAreReceivedImmediately(t *testing.T) {
	v := startVoter(t, 1)
	h := startFollower(t, v.address)
	eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.initialPolls > 0
	})
	v.feed.PublishEvacuations(evacuation.Evacuations{}.WithOrder(evacuation.Zone{Name: "a", Evacuated: true}))
	eventually(t, func() bool { return h.Evacuations().Evacuated("a") })
}
