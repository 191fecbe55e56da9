package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDirectory() *directory.Directory {
	return directory.New(directory.Settings{SilentAfter: 4 * time.Second, ForgetAfter: time.Minute})
}

func announced(incarnation, sequence uint64, s upstream.State) upstream.Upstream {
	return upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: incarnation, Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Zone:     "a", Slots: 2, Sequence: sequence, State: s,
	}
}

func TestOnlyChangesAreNews(t *testing.T) {
	d := newDirectory()
	for _, c := range []struct {
		name        string
		u           upstream.Upstream
		news, newer bool
	}{
		{"first", announced(1, 1, upstream.Ready), true, true},
		{"again", announced(1, 2, upstream.Ready), false, true},
		{"repeated", announced(1, 2, upstream.Ready), false, false},
		{"draining", announced(1, 4, upstream.Draining), true, true},
		{"late", announced(1, 3, upstream.Ready), false, false},
		{"gone", upstream.Upstream{Identity: upstream.Identity{Incarnation: 1}, State: upstream.Withdrawn}, true, true},
		{"delayed after that", announced(1, 9, upstream.Ready), false, false},
	} {
		news, newer := d.Announce(epoch, c.u, 0)
		require.Equal(t, c.news, news, c.name)
		require.Equal(t, c.newer, newer, c.name)
	}
	notices := d.Since(epoch, 0)
	require.Len(t, notices, 1)
	require.Equal(t, upstream.Withdrawn, notices[0].Upstream.State)
	require.Equal(t, "orders", notices[0].Upstream.Service, "a departure need not describe the upstream")
}

func TestSilenceIsNewsOnceAndEndsWithAnAnnouncement(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 2*time.Second)
	require.False(t, d.Tick(epoch.Add(3*time.Second)))
	require.True(t, d.Tick(epoch.Add(5*time.Second)))
	require.False(t, d.Tick(epoch.Add(6*time.Second)))
	require.True(t, d.Since(epoch.Add(6*time.Second), 0)[0].Silent)
	version := d.Version()
	news, _ := d.Announce(epoch.Add(7*time.Second), announced(1, 2, upstream.Ready), 0)
	require.True(t, news)
	require.False(t, d.Since(epoch.Add(7*time.Second), version)[0].Silent)
	d.Tick(epoch.Add(2 * time.Minute))
	require.Empty(t, d.Since(epoch.Add(2*time.Minute), 0))
}

// Symptom: an upstream got no flow although it announced itself every second, and
// flows were sent to one that was gone.
// Events: an upstream crashes behind a cut, another starts at its address; the
// first one's delayed announcement arrives.
// Cause: the delayed announcement took the address until the next of the second.
func TestOneDelayedAnnouncementTakesNoAddress(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(time.Second), announced(2, 1, upstream.Ready), 0)
	require.Equal(t, []bool{true, false}, replaced(d))
	news, newer := d.Announce(epoch.Add(2*time.Second), announced(1, 2, upstream.Ready), 0)
	require.False(t, news)
	require.True(t, newer)
	require.Equal(t, []bool{true, false}, replaced(d))
	news, _ = d.Announce(epoch.Add(2*time.Second), announced(1, 3, upstream.Draining), 0)
	require.True(t, news, "that it leaves is told whoever holds the address")
}

// Symptom: an upstream got no flow although it announced itself every second.
// Events: the delayed announcement of one that is gone is the first that a voter
// hears of it; or two of them are delayed.
// Cause: it took the address for good.
func TestUpstreamThatLivesTakesItsAddressBack(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(2, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(time.Second), announced(1, 7, upstream.Ready), 0)
	require.Equal(t, []bool{false, true}, replaced(d))
	d.Announce(epoch.Add(2*time.Second), announced(2, 2, upstream.Ready), 0)
	news, _ := d.Announce(epoch.Add(3*time.Second), announced(2, 3, upstream.Ready), 0)
	require.True(t, news)
	require.Equal(t, []bool{true, false}, replaced(d))
	d.Announce(epoch.Add(3100*time.Millisecond), announced(1, 8, upstream.Ready), 0)
	require.Equal(t, []bool{true, false}, replaced(d))
}

// Where the one at the address is silent, the one before need not wait.
func TestReplacedUpstreamTakesASilentOnesAddressAtOnce(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(time.Second), announced(2, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(10*time.Second), announced(1, 2, upstream.Ready), 0)
	require.Equal(t, []bool{false, true}, replaced(d))
}

// Guards against the reset of flows of an upstream that serves: a delayed announcement of an
// earlier one at its address came last before its own were held up for seconds.
func TestUpstreamWithoutASuccessorThatLivesIsSilentAndNotReplaced(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(100*time.Millisecond), announced(2, 1, upstream.Ready), 0)
	require.Equal(t, []bool{true, false}, replaced(d), "new flows go elsewhere")
	d.Tick(epoch.Add(5 * time.Second))
	require.Equal(t, []bool{false, false}, replaced(d))
}

// Guards against flows that wait for an upstream whose address another one has taken.
func TestUpstreamWhoseSuccessorLivesIsReplaced(t *testing.T) {
	for _, after := range []time.Duration{2500 * time.Millisecond, 4500 * time.Millisecond} {
		d := newDirectory()
		d.Announce(epoch, announced(1, 1, upstream.Ready), 0)
		d.Announce(epoch.Add(100*time.Millisecond), announced(2, 1, upstream.Ready), 0)
		if after < 4*time.Second {
			d.Announce(epoch.Add(after), announced(2, 2, upstream.Ready), 0)
		}
		d.Tick(epoch.Add(4200 * time.Millisecond))
		before := d.Version()
		if after > 4*time.Second {
			d.Announce(epoch.Add(after), announced(2, 2, upstream.Ready), 0)
			d.Tick(epoch.Add(after))
			require.Greater(t, d.Version(), before, "that is news")
		}
		require.Equal(t, []bool{true, false}, replaced(d), after.String())
	}
}

func TestUpstreamsHeardLastComeFirst(t *testing.T) {
	d := newDirectory()
	for id := range uint64(9) {
		u := announced(id+1, 1, upstream.Ready)
		u.Address = netip.AddrPortFrom(u.Address.Addr(), uint16(id+1))
		if id == 7 {
			u.State = upstream.Draining
		}
		d.Announce(epoch.Add(time.Duration(id)*time.Millisecond), u, 0)
	}
	ports := func(most int) []uint16 {
		var out []uint16
		for _, a := range d.Heard(most, func(id uint64) bool { return id == 6 }) {
			out = append(out, a.Port())
		}
		return out
	}
	require.Equal(t, []uint16{9, 7, 5}, ports(3))
	require.Len(t, ports(20), 7)
}

func replaced(d *directory.Directory) []bool {
	var out []bool
	for _, n := range d.Since(epoch, 0) {
		out = append(out, n.Replaced)
	}
	return out
}

// Symptom: seconds after a loss of power everywhere voters sent megabytes to each of
// 290 balancers, and upstreams that got no answer in time all turned to one voter.
// Events: each voter recalls 3,000 upstreams, most of which speak to other voters.
// Cause: each of them was news again when it was overdue here.
func TestSilenceOfARecalledUpstreamIsNoNews(t *testing.T) {
	d := newDirectory()
	d.Recall(epoch, announced(1, 7, upstream.Ready), 0)
	require.True(t, d.Since(epoch, 0)[0].Recalled)
	version := d.Version()
	require.False(t, d.Tick(epoch.Add(5*time.Second)))
	require.Empty(t, d.Since(epoch.Add(5*time.Second), version))
	require.Empty(t, d.Since(epoch.Add(5*time.Second), 0))
}

func TestRecalledUpstreamThatIsHeardIsNews(t *testing.T) {
	d := newDirectory()
	d.Recall(epoch, announced(1, 7, upstream.Ready), 0)
	news, newer := d.Announce(epoch.Add(time.Second), announced(1, 8, upstream.Ready), 0)
	require.True(t, news)
	require.True(t, newer)
	require.False(t, d.Since(epoch, 0)[0].Recalled)
	d.Recall(epoch.Add(time.Second), announced(1, 7, upstream.Ready), 0)
	require.False(t, d.Since(epoch, 0)[0].Recalled, "what is heard here is not recalled")
}

// life is an announcement of an upstream that says when it started.
func life(born, sequence uint64, s upstream.State) upstream.Upstream {
	u := announced(1, sequence, s)
	u.Born = born
	return u
}

// Symptom: an upstream got no flow for minutes after it had started again.
// Events: it crashes, or leaves, and starts again as the incarnation that it was; its
// sequence starts anew.
// Cause: its announcements counted as late ones of its life before.
func TestUpstreamThatStartsAgainIsHeardAtOnce(t *testing.T) {
	for _, before := range []upstream.State{upstream.Ready, upstream.Draining, upstream.Withdrawn} {
		d := newDirectory()
		d.Announce(epoch, life(100, 50, upstream.Ready), 0)
		d.Announce(epoch, life(100, 51, before), 0)
		news, newer := d.Announce(epoch.Add(time.Second), life(200, 1, upstream.Ready), 0)
		require.True(t, news)
		require.True(t, newer)
		n := d.Since(epoch, 0)[0]
		require.Equal(t, life(200, 1, upstream.Ready), n.Upstream)
		require.False(t, n.Silent || n.Replaced)
	}
}

// Symptom: an upstream that had just started lost its flows, or got none.
// Events: announcements of its life before arrive late: that it is ready, drains or left.
// Cause: what the earlier life said counted for the one that serves.
func TestDelayedWordsOfAnEarlierLifeChangeNothing(t *testing.T) {
	for _, s := range []upstream.State{upstream.Ready, upstream.Draining, upstream.Withdrawn} {
		d := newDirectory()
		d.Announce(epoch, life(200, 1, upstream.Ready), 0)
		news, newer := d.Announce(epoch.Add(time.Second), life(100, 90, s), 0)
		require.False(t, news)
		require.False(t, newer)
		d.Recall(epoch, life(100, 95, s), 0)
		require.Equal(t, life(200, 1, upstream.Ready), d.Since(epoch, 0)[0].Upstream)
	}
}

func TestDepartureWithoutAStartEndsTheLifeThatIsHeard(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, life(200, 1, upstream.Ready), 0)
	gone := upstream.Upstream{Identity: upstream.Identity{Incarnation: 1}, State: upstream.Withdrawn}
	_, newer := d.Announce(epoch, gone, 0)
	require.True(t, newer)
	require.Equal(t, uint64(200), d.Since(epoch, 0)[0].Upstream.Born)
	_, newer = d.Announce(epoch, life(200, 9, upstream.Ready), 0)
	require.False(t, newer, "a delayed announcement revives no life")
}

// Symptom: an upstream counted as replaced though no other had its address.
// Events: it starts again at another address, and another upstream at its former one.
// Cause: the former address still counted as its own.
func TestUpstreamThatMovedIsNotReplacedAtItsFormerAddress(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, life(100, 1, upstream.Ready), 0)
	moved := life(200, 1, upstream.Ready)
	moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
	d.Announce(epoch, moved, 0)
	d.Announce(epoch, announced(2, 1, upstream.Ready), 0)
	require.Equal(t, []bool{false, false}, replaced(d))
}
