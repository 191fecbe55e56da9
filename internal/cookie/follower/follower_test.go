package follower_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/server"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/wire/rpc"
)

// voter answers a follower's questions as a real one does.
type voter struct {
	address string
	feed    *feed.Feed
	history history.History
	mu      sync.Mutex
	fetched int
	// begun counts the questions of balancers that had heard nothing.
	begun int
	// stuck voters never answer with a configuration.
	stuck bool
}

func startVoter(t *testing.T, life uint64) *voter {
	l := server.Listen(t)
	v := &voter{
		address: l.Address(),
		history: history.New(8),
		feed:    feed.New(life, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), time.Now),
	}
	s := rpc.NewServer(func(string) {})
	rpc.Handle(s, feed.SinceMethod, "group", func(ctx context.Context, q feed.Question) (feed.Answer, error) {
		v.mu.Lock()
		if q.Life == 0 {
			v.begun++
		}
		v.mu.Unlock()
		return v.feed.Since(ctx, q), nil
	})
	rpc.Handle(s, feed.ConfigurationMethod, "group", func(ctx context.Context, revision uint64) (history.Answer, error) {
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

// listener keeps what it was told.
type listener struct {
	mu      sync.Mutex
	held    configuration.Configuration
	notices map[string]int
	// informed is set with the first upstream, where notes is.
	informed, notes bool
	evacuations     evacuation.Evacuations
}

func (l *listener) Evacuations() evacuation.Evacuations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evacuations
}

func (l *listener) Evacuated(_ string, e evacuation.Evacuations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuations = e
}

func (l *listener) Held() configuration.Configuration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *listener) Informed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.informed
}

func (l *listener) Offered(_ string, c configuration.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = c
}

func (l *listener) Answered(_ time.Time, x origins.Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices[x.Voter] += len(x.Notices)
	l.informed = l.informed || l.notes && len(x.Notices) > 0
}

func (l *listener) heard(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notices[address]
}

func follow(t *testing.T, addresses ...string) *listener { return followFrom(t, 1, addresses...) }

// followFrom follows with a configuration that is held already, none for revision 0.
func followFrom(t *testing.T, revision uint64, addresses ...string) *listener {
	l := &listener{notices: map[string]int{}, held: configuration.Configuration{Revision: revision}}
	f := follower.New(follower.Settings{Token: "group", From: "balancer", Clock: time.Now}, l, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	f.Start(ctx, addresses)
	t.Cleanup(func() {
		cancel()
		f.Wait()
	})
	return l
}

func eventually(t *testing.T, f func() bool) {
	require.Eventually(t, f, 20*time.Second, 5*time.Millisecond)
}

// Symptom: after a change of 1,400 routes balancers heard of no departure for
// more than a second.
// Events: each voter's answer carried the change, over a link that takes half a
// second for one of them.
// Cause: the configuration came from all voters at once, and before the news.
func TestConfigurationComesFromOneVoter(t *testing.T) {
	a, b, c := startVoter(t, 1), startVoter(t, 2), startVoter(t, 3)
	l := follow(t, a.address, b.address, c.address)
	for revision := uint64(2); revision <= 4; revision++ {
		for _, v := range []*voter{a, b, c} {
			v.publish(revision)
		}
		eventually(t, func() bool { return l.Held().Revision == revision })
	}
	require.LessOrEqual(t, a.fetches()+b.fetches()+c.fetches(), 6, "not nine: one for each change, or two in a race")
}

func TestStuckVoterDoesNotKeepTheConfigurationAway(t *testing.T) {
	a, b := startVoter(t, 1), startVoter(t, 2)
	a.stuck = true
	l := follow(t, a.address)
	a.publish(7)
	eventually(t, func() bool { return a.fetches() > 0 })
	a.feed.SetMembers([]string{a.address, b.address})
	b.publish(7)
	eventually(t, func() bool { return l.Held().Revision == 7 })
}

func TestNewsDoNotWaitForTheConfiguration(t *testing.T) {
	a := startVoter(t, 1)
	a.stuck = true
	l := follow(t, a.address)
	a.publish(7)
	eventually(t, func() bool { return a.fetches() > 0 })
	a.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	eventually(t, func() bool { return l.heard(a.address) == 1 })
	require.Equal(t, uint64(1), l.Held().Revision)
}

// Symptom: balancers were ready 90 ms after the first voter of 81 balancers answered.
// Events: all VMs lose power; balancers start without a configuration.
// Cause: each asked for the news first, and for the configuration that they named then.
func TestFirstConfigurationComesWithTheNews(t *testing.T) {
	a := startVoter(t, 1)
	a.stuck = true
	a.publish(7)
	a.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	l := followFrom(t, 0, a.address)
	eventually(t, func() bool { return l.heard(a.address) == 1 })
	require.Equal(t, uint64(7), l.Held().Revision, "it is told before the news")
}

// A large configuration is asked for separately: several voters' answers would fill a
// narrow link.
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
	l := followFrom(t, 0, a.address)
	eventually(t, func() bool { return l.Held().Revision == 7 })
	require.NotZero(t, a.fetches())
}

// shapeBelow is the tree's of the zone that below returns.
var shapeBelow = tree.Shape{Roots: 4, Fanout: 8}

// below returns the address of a balancer that is not at the top of a zone, and the zone.
func below() (string, []members.Attendance) {
	var addresses []string
	var zone []members.Attendance
	for n := range 20 {
		a := fmt.Sprintf("127.9.9.%d:7720", n+1)
		addresses = append(addresses, a)
		zone = append(zone, members.Attendance{Member: member.Member{Zone: "a", Address: a}})
	}
	for _, a := range addresses {
		if shapeBelow.Of(a, addresses).Level > 0 {
			return a, zone
		}
	}
	return "", nil
}

// startBelow starts to follow as a balancer below the top of its zone.
func startBelow(t *testing.T, clock func() time.Time, self string, voters []string) (*follower.Follower, *listener) {
	l := &listener{notices: map[string]int{}, notes: true}
	f := follower.New(follower.Settings{
		Token: "group", From: "balancer", Clock: clock, Self: member.Member{Zone: "a", Address: self}, Shape: shapeBelow, StaleAfter: time.Second,
	}, l, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	f.Start(ctx, voters)
	t.Cleanup(func() {
		cancel()
		f.Wait()
	})
	return f, l
}

// Symptom: balancers were not ready for seconds, though voters answered.
// Events: all VMs lose power; a voter comes back with an empty disk and answers first.
// Cause: one voter that had answered sufficed, whatever it told.
func TestVoterWithAnEmptyDiskDoesNotSuffice(t *testing.T) {
	self, zone := below()
	empty, whole := startVoter(t, 1), startVoter(t, 2)
	for _, v := range []*voter{empty, whole} {
		v.feed.Attend(time.Now(), zone)
	}
	whole.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
	whole.publish(7)
	// On a clock that stands still the time never comes when all voters are asked anyway.
	still := time.Now()
	_, l := startBelow(t, func() time.Time { return still }, self, []string{empty.address, whole.address})
	eventually(t, func() bool { return l.Held().Revision == 7 && l.Informed() })
}

// Symptom: after a loss of power everywhere balancers were ready 265 ms after the first
// voter, 97 ms the first of them.
// Events: all balancers of a large fleet start and reach all voters of their settings.
// Cause: each asked all of them for all upstreams.
func TestOneVoterSufficesForAStart(t *testing.T) {
	self, zone := below()
	var voters []*voter
	var addresses []string
	for life := range uint64(3) {
		v := startVoter(t, life+1)
		v.feed.Attend(time.Now(), zone)
		v.feed.Announce(time.Now(), upstream.Upstream{Identity: upstream.Identity{Incarnation: 5}, Sequence: 1}, 0)
		v.publish(7)
		voters = append(voters, v)
		addresses = append(addresses, v.address)
	}
	f, l := startBelow(t, time.Now, self, addresses)
	eventually(t, func() bool { return l.Held().Revision == 7 })
	time.Sleep(100 * time.Millisecond)
	begun := 0
	for _, v := range voters {
		v.mu.Lock()
		begun += v.begun
		v.mu.Unlock()
	}
	// Another one may be asked where the first is slow, on a slow machine.
	require.LessOrEqual(t, begun, 2)
	require.Equal(t, 1, f.Level())
}

func TestOrdersForZonesAreHeardAtOnce(t *testing.T) {
	v := startVoter(t, 1)
	l := follow(t, v.address)
	eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.begun > 0
	})
	v.feed.PublishEvacuations(evacuation.Evacuations{}.With(evacuation.Zone{Name: "a", Evacuated: true}))
	eventually(t, func() bool { return l.Evacuations().Evacuated("a") })
}
