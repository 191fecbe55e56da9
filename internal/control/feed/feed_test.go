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
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/probe"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/directory"
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

// Symptom: voters were busy and acknowledged departures late while upstreams were
// replaced one after the other.
// Events: 50 upstreams a second change; 290 balancers wait for news.
// Cause: each change was an answer of its own to each balancer.
func TestNewsOfUpstreamsAreGathered(t *testing.T) {
	f := newFeed()
	answers := make(chan feed.Answer)
	go func() { answers <- f.Since(context.Background(), feed.Question{Life: 1, Hold: time.Hour}) }()
	f.Announce(epoch, announced(1), 0)
	first := <-answers
	require.Len(t, first.Notices, 1, "the first is told at once")
	go func() {
		answers <- f.Since(context.Background(), feed.Question{Life: 1, Version: first.Version, Hold: time.Hour})
	}()
	for n := range uint64(20) {
		f.Announce(epoch.Add(time.Millisecond), announced(10+n), 0)
	}
	f.Tick(epoch.Add(50 * time.Millisecond))
	select {
	case <-answers:
		t.Fatal("told too early")
	case <-time.After(20 * time.Millisecond):
	}
	f.Tick(epoch.Add(100 * time.Millisecond))
	require.Len(t, (<-answers).Notices, 20)
}

func TestConfigurationsAreToldAtOnce(t *testing.T) {
	f := newFeed()
	f.Announce(epoch, announced(1), 0)
	f.Announce(epoch, announced(2), 0)
	f.Publish(history.New(1).With(configuration.Configuration{Revision: 4}))
	a := f.Since(context.Background(), feed.Question{Life: 1, Version: 1, Hold: time.Hour})
	require.Equal(t, uint64(4), a.Revision)
	require.Len(t, a.Notices, 1, "what is still gathered goes along")
	require.Nil(t, f.Configuration(4).Whole)
	require.NotNil(t, f.Configuration(0).Whole)
}

// Symptom: after a loss of power everywhere each balancer took all upstreams from
// each voter; voters' links were full, and announcements were answered late.
// Events: voters recall the upstreams of all of them; balancers ask each.
// Cause: what a voter had not heard itself was told to whoever asked.
func TestRecalledUpstreamsAreForThoseWhoAsk(t *testing.T) {
	f := newFeed()
	f.Announce(epoch, announced(1), 0)
	f.Recall(epoch, announced(2), 0)
	require.Len(t, f.Since(t.Context(), feed.Question{}).Notices, 1)
	require.Len(t, f.Since(t.Context(), feed.Question{Recalled: true}).Notices, 2)
}

// Symptom: each balancer found out by itself that an upstream had lost power.
// Events: two balancers leave reports of packets without an answer; a third waits for
// news.
// Cause: nothing passed on what balancers saw.
func TestSilenceIsToldToAllBalancers(t *testing.T) {
	f := newFeed()
	f.SetProber(host(probe.Unanswered))
	f.Announce(epoch.Add(-time.Second), announced(1), 0)
	answers := make(chan feed.Answer)
	ask := func(version uint64) {
		a := f.Since(context.Background(), feed.Question{Life: 1, From: "b3", Version: f.Version(), Doubts: version, Hold: time.Hour})
		answers <- a
	}
	go ask(0)
	u := announced(1)
	u.Sequence++
	missed := word.Event{Incarnation: 1, Age: 200 * time.Millisecond, Weight: 5}
	f.Report(epoch, word.Report{From: "b1", Events: []word.Event{missed, missed}})
	first := <-answers
	require.Equal(t, word.Subject{Incarnation: 1}, first.Doubts[0].Subject)
	require.False(t, first.Doubts[0].Unresponsive)
	go ask(first.DoubtsVersion)
	f.Report(epoch, word.Report{From: "b2", Events: []word.Event{missed}})
	f.Tick(epoch.Add(100 * time.Millisecond))
	second := <-answers
	if !second.Doubts[0].Unresponsive {
		// The evidence sufficed before the probe had ended.
		go ask(second.DoubtsVersion)
		second = <-answers
	}
	require.True(t, second.Doubts[0].Unresponsive)
	go ask(second.DoubtsVersion)
	_, answered := f.Announce(epoch.Add(200*time.Millisecond), u, 0)
	require.True(t, answered, "an announcement is a sign of life that other voters do not hear")
	require.Empty(t, (<-answers).Doubts)
}

// host is a prober that always finds the same.
type host probe.Outcome

func (h host) Check(context.Context, netip.AddrPort, []netip.AddrPort) probe.Outcome {
	return probe.Outcome(h)
}

// Guards against resets of flows whose upstream only waits for a processor: its host is there.
func TestUpstreamWhoseHostAnswersIsOnlySuspected(t *testing.T) {
	for _, o := range []probe.Outcome{probe.Accepted, probe.Inconclusive} {
		f := newFeed()
		f.SetProber(host(o))
		f.Announce(epoch.Add(-time.Second), announced(1), 0)
		missed := word.Event{Incarnation: 1, Age: 200 * time.Millisecond, Weight: 5}
		for _, from := range []string{"b1", "b2", "b3"} {
			f.Since(t.Context(), feed.Question{From: from})
			f.Report(epoch, word.Report{From: from, Events: []word.Event{missed, missed}})
		}
		for n := range 12 {
			f.Tick(epoch.Add(time.Duration(n) * 100 * time.Millisecond))
			a := f.Since(t.Context(), feed.Question{From: "b1"})
			require.NotEmpty(t, a.Doubts, "new flows go elsewhere")
			require.False(t, a.Doubts[0].Unresponsive, o.String())
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a voter that answers each of many at every change of what it suspects, while
// hundreds of upstreams fall silent together.
func TestManyAreToldOfSilenceTogether(t *testing.T) {
	f := newFeed()
	const balancers, hold = 50, 20 * time.Millisecond
	for i := range balancers {
		f.Since(t.Context(), feed.Question{From: fmt.Sprint("b", i), Passing: 2})
	}
	missed := func(id uint64) word.Report {
		e := word.Event{Incarnation: id, Age: 200 * time.Millisecond, Weight: 5}
		return word.Report{From: "b1", Events: []word.Event{e, e}}
	}
	f.Report(epoch, missed(1))
	first := f.Since(t.Context(), feed.Question{From: "b1", Passing: 2})
	require.Len(t, first.Doubts, 1, "the first is told at once")
	f.Report(epoch, missed(2))
	begun := time.Now()
	a := f.Since(t.Context(), feed.Question{Life: 1, From: "b1", Passing: 2, Doubts: first.DoubtsVersion, Version: first.Version, Hold: hold})
	require.GreaterOrEqual(t, time.Since(begun), hold)
	require.Len(t, a.Doubts, 2)
}

func asks(address, zone string) *member.Member { return &member.Member{Zone: zone, Address: address} }

func TestBalancersAreToldOfThoseOfTheirZone(t *testing.T) {
	f := newFeed()
	f.SetZone("a")
	a := f.Since(t.Context(), feed.Question{From: "b1", Self: asks("b1", "a")})
	require.Equal(t, "a", a.Zone)
	require.Len(t, a.Fleet, 1)
	f.Since(t.Context(), feed.Question{From: "b2", Self: asks("b2", "b")})
	f.Attend(epoch, []members.Attendance{{Member: *asks("b3", "a")}})
	a = f.Since(t.Context(), feed.Question{From: "b1", Self: asks("b1", "a"), Life: a.Life, Fleet: a.FleetVersion})
	require.Len(t, a.Fleet, 2, "one that follows another is told of by it")
	a = f.Since(t.Context(), feed.Question{From: "b1", Self: asks("b1", "a"), Life: a.Life, Fleet: a.FleetVersion})
	require.Empty(t, a.Fleet, "nothing is new")
	require.Empty(t, f.Since(t.Context(), feed.Question{}).Fleet, "other voters need no list")
}

// Symptom: a voter was busy while many balancers asked it and upstreams changed.
// Events: 30 balancers ask; an upstream changes now and then.
// Cause: each of them was sent each change within a tenth of a second.
func TestNewsAreGatheredLongerForMany(t *testing.T) {
	f := newFeed()
	for n := range 30 {
		f.Since(t.Context(), feed.Question{From: fmt.Sprint("b", n)})
	}
	f.Announce(epoch, announced(1), 0)
	answers := make(chan feed.Answer)
	go func() {
		answers <- f.Since(context.Background(), feed.Question{From: "b1", Life: 1, Version: 1, Hold: time.Hour})
	}()
	f.Announce(epoch.Add(time.Millisecond), announced(2), 0)
	f.Tick(epoch.Add(200 * time.Millisecond))
	select {
	case <-answers:
		t.Fatal("told too early")
	case <-time.After(20 * time.Millisecond):
	}
	f.Tick(epoch.Add(300 * time.Millisecond))
	require.Len(t, (<-answers).Notices, 1)
}

// elsewhere are upstreams that another voter hears, every other one in zone b.
type elsewhere struct {
	upstreams uint64
	asked     *int
}

func (e elsewhere) Live(time.Time) []directory.Notice {
	*e.asked++
	var out []directory.Notice
	for n := range e.upstreams {
		u := announced(100 + n)
		u.Zone = string(rune('a' + n%2))
		out = append(out, directory.Notice{Upstream: u, Recalled: true})
	}
	return out
}

func (e elsewhere) Address(time.Time, uint64, uint64) (netip.AddrPort, bool) {
	return netip.AddrPort{}, false
}

func starting(zone string) feed.Question {
	return feed.Question{Recalled: true, Encoded: true, Self: asks("b1", zone)}
}

func told(t *testing.T, f *feed.Feed, q feed.Question) int {
	a, err := f.Since(t.Context(), q).Decoded()
	require.NoError(t, err)
	return len(a.Notices)
}

// Symptom: a balancer that had just started knew a fifth of the upstreams for a second.
// Events: it asks one voter, which hears the upstreams of its zone.
// Cause: a voter told only of those that it heard itself.
func TestStartingBalancersAreToldOfAllUpstreams(t *testing.T) {
	f := newFeed()
	f.SetElsewhere(elsewhere{upstreams: 10, asked: new(int)})
	f.Announce(epoch, announced(1), 0)
	require.Equal(t, 11, told(t, f, starting("a")))
	require.Equal(t, 1, told(t, f, feed.Question{Encoded: true, Self: asks("b1", "a")}), "others hear it from those voters")
}

// Symptom: a configuration was acknowledged after 7 s.
// Events: 300 balancers start within some seconds; 3,000 upstreams are known.
// Cause: all upstreams were encoded anew for each of them, and sent whole.
func TestMassStartOfALargeFleetIsCheapForVoters(t *testing.T) {
	f, asked := newFeed(), 0
	f.SetElsewhere(elsewhere{upstreams: 3000, asked: &asked})
	f.Announce(epoch, announced(1), 0)
	for range 50 {
		require.Equal(t, 1501, told(t, f, starting("a")), "those of its own zone")
		require.Equal(t, 1501, told(t, f, starting("b")))
	}
	require.Equal(t, 1, asked)
}

// What a voter hears itself goes before what others reported a moment ago.
func TestOwnWordGoesBeforeThatOfOthers(t *testing.T) {
	f := newFeed()
	f.SetElsewhere(elsewhere{upstreams: 1, asked: new(int)})
	f.Announce(epoch, announced(100), 0)
	a, err := f.Since(t.Context(), starting("a")).Decoded()
	require.NoError(t, err)
	require.False(t, a.Notices[len(a.Notices)-1].Recalled)
}
