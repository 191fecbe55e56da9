package feed_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/probe"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/recent"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFeed() *feed.Feed {
	d := directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour})
	return feed.New(1, d, func() time.Time { return epoch })
}

func announced(incarnation uint64) upstream.Upstream {
	return upstream.Upstream{Identity: upstream.Identity{
		Service: "orders", Incarnation: incarnation, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(incarnation >> 8), byte(incarnation)}), 80),
	}, Sequence: 1}
}

// During a rolling replacement, 50 upstreams a second change while 290 balancers poll. One response
// per change and balancer overloaded the voters, which acknowledged draining upstreams late.
func TestUpstreamChangesAreBatched(t *testing.T) {
	f := newFeed()
	responses := make(chan feed.Response)
	go func() { responses <- f.Since(context.Background(), feed.Request{Life: 1, Hold: time.Hour}) }()
	f.Announce(epoch, announced(1), 0)
	first := <-responses
	require.Len(t, first.Notices, 1, "the first change is sent at once")
	go func() {
		responses <- f.Since(context.Background(), feed.Request{Life: 1, Version: first.Version, Hold: time.Hour})
	}()
	for n := range uint64(20) {
		f.Announce(epoch.Add(time.Millisecond), announced(10+n), 0)
	}
	f.Tick(epoch.Add(50 * time.Millisecond))
	select {
	case <-responses:
		t.Fatal("responded too early")
	case <-time.After(20 * time.Millisecond):
	}
	f.Tick(epoch.Add(100 * time.Millisecond))
	require.Len(t, (<-responses).Notices, 20)
}

func TestConfigurationsAreSentAtOnce(t *testing.T) {
	f := newFeed()
	f.Announce(epoch, announced(1), 0)
	f.Announce(epoch, announced(2), 0)
	f.Publish(history.New(1).With(configuration.Configuration{Revision: 4}))
	a := f.Since(context.Background(), feed.Request{Life: 1, Version: 1, Hold: time.Hour})
	require.Equal(t, uint64(4), a.Revision)
	require.Len(t, a.Notices, 1, "batched changes are included")
	require.Nil(t, f.Configuration(4).Whole)
	require.NotNil(t, f.Configuration(0).Whole)
}

// All VMs lose power. After the restart each voter restored the upstreams of all voters and sent them
// to every balancer, so that each balancer received them once per voter. This saturated the voters'
// links, and announcements were acknowledged late.
func TestRestoredUpstreamsAreSentOnRequestOnly(t *testing.T) {
	f := newFeed()
	f.Announce(epoch, announced(1), 0)
	f.Restore(epoch, announced(2), 0)
	require.Len(t, f.Since(t.Context(), feed.Request{}).Notices, 1)
	require.Len(t, f.Since(t.Context(), feed.Request{Recalled: true}).Notices, 2)
}

// Two balancers report unanswered packets, and a third balancer that polls the voter receives the
// suspicion. Otherwise each balancer would have to detect the failed upstream itself.
func TestSuspicionsAreReportedToAllBalancers(t *testing.T) {
	f := newFeed()
	f.SetProber(fixedProber(probe.Unanswered))
	f.Announce(epoch.Add(-time.Second), announced(1), 0)
	responses := make(chan feed.Response)
	poll := func(version uint64) {
		a := f.Since(context.Background(), feed.Request{Life: 1, From: "b3", Version: f.Version(), Doubts: version, Hold: time.Hour})
		responses <- a
	}
	go poll(0)
	u := announced(1)
	u.Sequence++
	unanswered := evidence.Event{Incarnation: 1, Age: 200 * time.Millisecond, Weight: 5}
	f.Report(epoch, evidence.Report{From: "b1", Events: []evidence.Event{unanswered, unanswered}})
	first := <-responses
	require.Equal(t, evidence.Subject{Incarnation: 1}, first.Doubts[0].Subject)
	require.False(t, first.Doubts[0].Unresponsive)
	go poll(first.DoubtsVersion)
	f.Report(epoch, evidence.Report{From: "b2", Events: []evidence.Event{unanswered}})
	f.Tick(epoch.Add(100 * time.Millisecond))
	second := <-responses
	if !second.Doubts[0].Unresponsive {
		// The evidence sufficed before the probe finished.
		go poll(second.DoubtsVersion)
		second = <-responses
	}
	require.True(t, second.Doubts[0].Unresponsive)
	go poll(second.DoubtsVersion)
	_, refuted := f.Announce(epoch.Add(200*time.Millisecond), u, 0)
	require.True(t, refuted, "a liveness report must go to the other voters, which do not receive the announcement")
	require.Empty(t, (<-responses).Doubts)
}

// fixedProber is a prober that always returns the same outcome.
type fixedProber probe.Outcome

func (p fixedProber) Check(context.Context, netip.AddrPort, []netip.AddrPort) probe.Outcome {
	return probe.Outcome(p)
}

// An upstream is short of CPU time, but its host responds to probes. If the upstream became
// unresponsive, its flows would be reset; it must only be suspected.
func TestUpstreamWhoseHostAnswersIsOnlySuspected(t *testing.T) {
	for _, o := range []probe.Outcome{probe.Accepted, probe.Inconclusive} {
		f := newFeed()
		f.SetProber(fixedProber(o))
		f.Announce(epoch.Add(-time.Second), announced(1), 0)
		unanswered := evidence.Event{Incarnation: 1, Age: 200 * time.Millisecond, Weight: 5}
		for _, from := range []string{"b1", "b2", "b3"} {
			f.Since(t.Context(), feed.Request{From: from})
			f.Report(epoch, evidence.Report{From: from, Events: []evidence.Event{unanswered, unanswered}})
		}
		for n := range 12 {
			f.Tick(epoch.Add(time.Duration(n) * 100 * time.Millisecond))
			a := f.Since(t.Context(), feed.Request{From: "b1"})
			require.NotEmpty(t, a.Doubts, "new flows avoid the upstream")
			require.False(t, a.Doubts[0].Unresponsive, o.String())
			time.Sleep(time.Millisecond)
		}
	}
}

// Hundreds of upstreams fail together. One response per suspicion and balancer would overload a
// voter that many balancers poll.
func TestSuspicionsAreBatchedForManyBalancers(t *testing.T) {
	f := newFeed()
	const balancers, hold = 50, 20 * time.Millisecond
	for i := range balancers {
		f.Since(t.Context(), feed.Request{From: fmt.Sprint("b", i), Passing: 2})
	}
	unansweredReport := func(incarnation uint64) evidence.Report {
		e := evidence.Event{Incarnation: incarnation, Age: 200 * time.Millisecond, Weight: 5}
		return evidence.Report{From: "b1", Events: []evidence.Event{e, e}}
	}
	f.Report(epoch, unansweredReport(1))
	first := f.Since(t.Context(), feed.Request{From: "b1", Passing: 2})
	require.Len(t, first.Doubts, 1, "the first suspicion is sent at once")
	f.Report(epoch, unansweredReport(2))
	start := time.Now()
	a := f.Since(t.Context(), feed.Request{Life: 1, From: "b1", Passing: 2, Doubts: first.DoubtsVersion, Version: first.Version, Hold: hold})
	require.GreaterOrEqual(t, time.Since(start), hold)
	require.Len(t, a.Doubts, 2)
}

func self(address, zone string) *member.Member { return &member.Member{Zone: zone, Address: address} }

func TestBalancersReceiveTheFleetOfTheirZone(t *testing.T) {
	f := newFeed()
	f.SetZone("a")
	a := f.Since(t.Context(), feed.Request{From: "b1", Self: self("b1", "a")})
	require.Equal(t, "a", a.Zone)
	require.Len(t, a.Fleet, 1)
	f.Since(t.Context(), feed.Request{From: "b2", Self: self("b2", "b")})
	f.RecordFollowers(epoch, []members.Heartbeat{{Member: *self("b3", "a")}})
	a = f.Since(t.Context(), feed.Request{From: "b1", Self: self("b1", "a"), Life: a.Life, Fleet: a.FleetVersion})
	require.Len(t, a.Fleet, 2, "a follower is reported by its parent")
	a = f.Since(t.Context(), feed.Request{From: "b1", Self: self("b1", "a"), Life: a.Life, Fleet: a.FleetVersion})
	require.Empty(t, a.Fleet, "the list is unchanged")
	require.Empty(t, f.Since(t.Context(), feed.Request{}).Fleet, "other voters need no list")
}

// 30 balancers poll a voter. Each change of an upstream was sent to all of them within 100 ms, which
// took much of the voter's CPU time.
func TestBatchingIntervalGrowsWithBalancers(t *testing.T) {
	f := newFeed()
	for n := range 30 {
		f.Since(t.Context(), feed.Request{From: fmt.Sprint("b", n)})
	}
	f.Announce(epoch, announced(1), 0)
	responses := make(chan feed.Response)
	go func() {
		responses <- f.Since(context.Background(), feed.Request{From: "b1", Life: 1, Version: 1, Hold: time.Hour})
	}()
	f.Announce(epoch.Add(time.Millisecond), announced(2), 0)
	f.Tick(epoch.Add(200 * time.Millisecond))
	select {
	case <-responses:
		t.Fatal("responded too early")
	case <-time.After(20 * time.Millisecond):
	}
	f.Tick(epoch.Add(300 * time.Millisecond))
	require.Len(t, (<-responses).Notices, 1)
}

// remoteSource provides upstreams of another voter, every other one in zone b.
type remoteSource struct {
	upstreams uint64
	calls     *int
}

func (r remoteSource) Live(time.Time) []directory.Notice {
	*r.calls++
	var out []directory.Notice
	for n := range r.upstreams {
		u := announced(100 + n)
		u.Zone = string(rune('a' + n%2))
		out = append(out, directory.Notice{Upstream: u, Recalled: true})
	}
	return out
}

func (remoteSource) Recent(time.Time) recent.Set { return recent.Set{} }

func (r remoteSource) Address(time.Time, uint64, uint64) (netip.AddrPort, bool) {
	return netip.AddrPort{}, false
}

func startingRequest(zone string) feed.Request {
	return feed.Request{Recalled: true, Encoded: true, AcceptsPacked: true, Self: self("b1", zone)}
}

func noticeCount(t *testing.T, f *feed.Feed, req feed.Request) int {
	a, err := f.Since(t.Context(), req).Decoded()
	require.NoError(t, err)
	return len(a.Notices)
}

// A starting balancer polls one voter. The voter sent only the upstreams that announce themselves to
// that voter, which are the upstreams of the voter's zone. For a second the balancer knew only a fifth
// of the upstreams.
func TestStartingBalancersReceiveAllUpstreams(t *testing.T) {
	f := newFeed()
	f.SetRemoteSource(remoteSource{upstreams: 10, calls: new(int)})
	f.Announce(epoch, announced(1), 0)
	require.Equal(t, 11, noticeCount(t, f, startingRequest("a")))
	require.Equal(t, 1, noticeCount(t, f, feed.Request{Encoded: true, Self: self("b1", "a")}), "a balancer that is not starting receives the other upstreams from the other voters")
}

// 300 balancers start within seconds. A voter encoded and sent all 3,000 upstreams for each of them,
// and a configuration was acknowledged only after 7 s.
func TestMassStartReusesEncodedUpstreams(t *testing.T) {
	f, calls := newFeed(), 0
	f.SetRemoteSource(remoteSource{upstreams: 3000, calls: &calls})
	f.Announce(epoch, announced(1), 0)
	for range 50 {
		require.Equal(t, 1501, noticeCount(t, f, startingRequest("a")), "upstreams of its own zone")
		require.Equal(t, 1501, noticeCount(t, f, startingRequest("b")))
	}
	require.Equal(t, 1, calls)
}

// A voter's own notices override those of other voters, which may be out of date.
func TestOwnNoticesOverrideThoseOfOthers(t *testing.T) {
	f := newFeed()
	f.SetRemoteSource(remoteSource{upstreams: 1, calls: new(int)})
	f.Announce(epoch, announced(100), 0)
	a, err := f.Since(t.Context(), startingRequest("a")).Decoded()
	require.NoError(t, err)
	require.False(t, a.Notices[len(a.Notices)-1].Recalled)
}

// A starting balancer must not take an upstream that has just started for one that all balancers know.
func TestStartingBalancerLearnsWhichUpstreamsAreRecent(t *testing.T) {
	now := epoch
	f := feed.New(1, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour, RecentFor: 3 * time.Second}), func() time.Time { return now })
	f.Announce(now, announced(1), 0)
	f.MarkEstablished()
	f.Announce(now, announced(2), 0)
	now = now.Add(time.Minute)
	f.Announce(now, announced(3), 0)
	req := startingRequest("a")
	require.Nil(t, f.Since(t.Context(), req).Recent)
	req.Starting = true
	require.Equal(t, []uint64{3}, f.Since(t.Context(), req).Recent.Incarnations)
	for n := range uint64(600) {
		f.Announce(now, announced(100+n), 0)
	}
	require.True(t, f.Since(t.Context(), req).Recent.All)
	now = now.Add(time.Minute)
	require.Nil(t, f.Since(t.Context(), req).Recent)
}

func TestClaimsAreSentOnce(t *testing.T) {
	f := newFeed()
	first := f.Since(t.Context(), feed.Request{})
	require.Zero(t, first.ClaimsDigest)
	f.MergeClaims([]claims.Claim{{Cookie: 5, Incarnation: 1}})
	second := f.Since(t.Context(), feed.Request{Life: first.Life, Version: first.Version, Claims: new(uint64), Hold: time.Hour})
	require.Len(t, second.Claims, 1)
	third := f.Since(t.Context(), feed.Request{Life: first.Life, Version: first.Version, Claims: &second.ClaimsDigest})
	require.Empty(t, third.Claims)
	require.Equal(t, second.ClaimsDigest, third.ClaimsDigest)
}

// A balancer of an earlier version polled without a pause: it never reported the claims that it was sent.
func TestClaimsDoNotCompletePollsOfEarlierVersions(t *testing.T) {
	f := newFeed()
	first := f.Since(t.Context(), feed.Request{})
	f.MergeClaims([]claims.Claim{{Cookie: 5, Incarnation: 1}})
	ctx, cancel := context.WithCancel(t.Context())
	polled := make(chan feed.Response)
	go func() {
		polled <- f.Since(ctx, feed.Request{Life: first.Life, Version: first.Version, Hold: time.Hour})
	}()
	select {
	case <-polled:
		require.Fail(t, "the poll was completed without news")
	case <-time.After(50 * time.Millisecond):
	}
	cancel()
	resp := <-polled
	require.Empty(t, resp.Claims)
	require.Zero(t, resp.ClaimsDigest)
}
