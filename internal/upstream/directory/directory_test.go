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

func TestOnlyChangesArePublished(t *testing.T) {
	d := newDirectory()
	for _, c := range []struct {
		name           string
		u              upstream.Upstream
		publish, newer bool
	}{
		{"first", announced(1, 1, upstream.Ready), true, true},
		{"again", announced(1, 2, upstream.Ready), false, true},
		{"repeated", announced(1, 2, upstream.Ready), false, false},
		{"draining", announced(1, 4, upstream.Draining), true, true},
		{"delayed", announced(1, 3, upstream.Ready), false, false},
		{"withdrawn", upstream.Upstream{Identity: upstream.Identity{Incarnation: 1}, State: upstream.Withdrawn}, true, true},
		{"delayed after withdrawal", announced(1, 9, upstream.Ready), false, false},
	} {
		publish, newer := d.Announce(epoch, c.u, 0)
		require.Equal(t, c.publish, publish, c.name)
		require.Equal(t, c.newer, newer, c.name)
	}
	notices := d.Since(epoch, 0)
	require.Len(t, notices, 1)
	require.Equal(t, upstream.Withdrawn, notices[0].Upstream.State)
	require.Equal(t, "orders", notices[0].Upstream.Service, "a deregistration may carry only the incarnation")
}

func TestSilenceIsPublishedOnceAndEndsWithAnAnnouncement(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 2*time.Second)
	require.False(t, d.Tick(epoch.Add(3*time.Second)))
	require.True(t, d.Tick(epoch.Add(5*time.Second)))
	require.False(t, d.Tick(epoch.Add(6*time.Second)))
	require.True(t, d.Since(epoch.Add(6*time.Second), 0)[0].Silent)
	version := d.Version()
	publish, _ := d.Announce(epoch.Add(7*time.Second), announced(1, 2, upstream.Ready), 0)
	require.True(t, publish)
	require.False(t, d.Since(epoch.Add(7*time.Second), version)[0].Silent)
	d.Tick(epoch.Add(2 * time.Minute))
	require.Empty(t, d.Since(epoch.Add(2*time.Minute), 0))
}

// An upstream crashes, and a successor starts at its address. Then a delayed announcement of the
// crashed one arrives. It must not take the address back, or flows go to the crashed upstream.
func TestOneDelayedAnnouncementTakesNoAddressBack(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(time.Second), announced(2, 1, upstream.Ready), 0)
	require.Equal(t, []bool{true, false}, replaced(d))
	publish, newer := d.Announce(epoch.Add(2*time.Second), announced(1, 2, upstream.Ready), 0)
	require.False(t, publish)
	require.True(t, newer)
	require.Equal(t, []bool{true, false}, replaced(d))
	publish, _ = d.Announce(epoch.Add(2*time.Second), announced(1, 3, upstream.Draining), 0)
	require.True(t, publish, "a departure is published whichever upstream holds the address")
}

// A voter knows only delayed announcements of a dead upstream, or receives two of them. The live
// upstream at the same address must take the address back, or it gets no flow.
func TestLiveUpstreamTakesItsAddressBack(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(2, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(time.Second), announced(1, 7, upstream.Ready), 0)
	require.Equal(t, []bool{false, true}, replaced(d))
	d.Announce(epoch.Add(2*time.Second), announced(2, 2, upstream.Ready), 0)
	publish, _ := d.Announce(epoch.Add(3*time.Second), announced(2, 3, upstream.Ready), 0)
	require.True(t, publish)
	require.Equal(t, []bool{true, false}, replaced(d))
	d.Announce(epoch.Add(3100*time.Millisecond), announced(1, 8, upstream.Ready), 0)
	require.Equal(t, []bool{true, false}, replaced(d))
}

// If the successor is silent, a replaced upstream takes its address back with one announcement.
func TestReplacedUpstreamTakesTheAddressOfASilentOneAtOnce(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(time.Second), announced(2, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(10*time.Second), announced(1, 2, upstream.Ready), 0)
	require.Equal(t, []bool{false, true}, replaced(d))
}

// A delayed announcement of an earlier upstream at the same address arrives, and then the live
// upstream's own announcements are delayed for seconds. Its flows must not be reset.
func TestSilentUpstreamWithoutLiveSuccessorIsNotReplaced(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, announced(1, 1, upstream.Ready), 0)
	d.Announce(epoch.Add(100*time.Millisecond), announced(2, 1, upstream.Ready), 0)
	require.Equal(t, []bool{true, false}, replaced(d), "it gets no new flows")
	d.Tick(epoch.Add(5 * time.Second))
	require.Equal(t, []bool{false, false}, replaced(d))
}

// A live successor takes the address of an upstream, which becomes silent. Unless it counts as
// replaced, flows wait for the silent upstream.
func TestSilentUpstreamWithLiveSuccessorIsReplaced(t *testing.T) {
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
			require.Greater(t, d.Version(), before, "the change is published")
		}
		require.Equal(t, []bool{true, false}, replaced(d), after.String())
	}
}

func TestMostRecentlyAnnouncedUpstreamsComeFirst(t *testing.T) {
	d := newDirectory()
	for id := range uint64(9) {
		u := announced(id+1, 1, upstream.Ready)
		u.Address = netip.AddrPortFrom(u.Address.Addr(), uint16(id+1))
		if id == 7 {
			u.State = upstream.Draining
		}
		d.Announce(epoch.Add(time.Duration(id)*time.Millisecond), u, 0)
	}
	ports := func(limit int) []uint16 {
		var out []uint16
		for _, a := range d.RecentAddresses(limit, func(id uint64) bool { return id == 6 }) {
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

// All VMs lose power. Each voter restores 3,000 upstreams, most of which announce themselves to
// other voters, and published each as silent. Voters sent megabytes to each of 290 balancers, and
// upstreams that timed out all switched to one voter.
func TestSilenceOfRestoredUpstreamIsNotPublished(t *testing.T) {
	d := newDirectory()
	d.Restore(epoch, announced(1, 7, upstream.Ready), 0)
	require.True(t, d.Since(epoch, 0)[0].Recalled)
	version := d.Version()
	require.False(t, d.Tick(epoch.Add(5*time.Second)))
	require.Empty(t, d.Since(epoch.Add(5*time.Second), version))
	require.Empty(t, d.Since(epoch.Add(5*time.Second), 0))
}

func TestAnnouncementOfRestoredUpstreamIsPublished(t *testing.T) {
	d := newDirectory()
	d.Restore(epoch, announced(1, 7, upstream.Ready), 0)
	publish, newer := d.Announce(epoch.Add(time.Second), announced(1, 8, upstream.Ready), 0)
	require.True(t, publish)
	require.True(t, newer)
	require.False(t, d.Since(epoch, 0)[0].Recalled)
	d.Restore(epoch.Add(time.Second), announced(1, 7, upstream.Ready), 0)
	require.False(t, d.Since(epoch, 0)[0].Recalled, "an announced upstream is not restored")
}

// startedAt returns an announcement of incarnation 1 that started at born.
func startedAt(born, sequence uint64, s upstream.State) upstream.Upstream {
	u := announced(1, sequence, s)
	u.Born = born
	return u
}

// An upstream restarts with the same incarnation and a new sequence. Its announcements look
// delayed; if they were ignored, it would get no flow for minutes.
func TestRestartedUpstreamIsPublishedAtOnce(t *testing.T) {
	for _, before := range []upstream.State{upstream.Ready, upstream.Draining, upstream.Withdrawn} {
		d := newDirectory()
		d.Announce(epoch, startedAt(100, 50, upstream.Ready), 0)
		d.Announce(epoch, startedAt(100, 51, before), 0)
		publish, newer := d.Announce(epoch.Add(time.Second), startedAt(200, 1, upstream.Ready), 0)
		require.True(t, publish)
		require.True(t, newer)
		n := d.Since(epoch, 0)[0]
		require.Equal(t, startedAt(200, 1, upstream.Ready), n.Upstream)
		require.False(t, n.Silent || n.Replaced)
	}
}

// An upstream restarts, and announcements of its earlier instance arrive late. They must not end
// its flows or keep new ones from it.
func TestDelayedAnnouncementsOfAnEarlierInstanceAreIgnored(t *testing.T) {
	for _, s := range []upstream.State{upstream.Ready, upstream.Draining, upstream.Withdrawn} {
		d := newDirectory()
		d.Announce(epoch, startedAt(200, 1, upstream.Ready), 0)
		publish, newer := d.Announce(epoch.Add(time.Second), startedAt(100, 90, s), 0)
		require.False(t, publish)
		require.False(t, newer)
		d.Restore(epoch, startedAt(100, 95, s), 0)
		require.Equal(t, startedAt(200, 1, upstream.Ready), d.Since(epoch, 0)[0].Upstream)
	}
}

func TestDeregistrationWithoutBornWithdrawsTheCurrentInstance(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, startedAt(200, 1, upstream.Ready), 0)
	withdrawn := upstream.Upstream{Identity: upstream.Identity{Incarnation: 1}, State: upstream.Withdrawn}
	_, newer := d.Announce(epoch, withdrawn, 0)
	require.True(t, newer)
	require.Equal(t, uint64(200), d.Since(epoch, 0)[0].Upstream.Born)
	_, newer = d.Announce(epoch, startedAt(200, 9, upstream.Ready), 0)
	require.False(t, newer, "a delayed announcement does not revive an instance")
}

// An upstream restarts at another address, and another upstream starts at its former one. The
// first upstream must not count as replaced.
func TestUpstreamThatMovedIsNotReplacedAtItsFormerAddress(t *testing.T) {
	d := newDirectory()
	d.Announce(epoch, startedAt(100, 1, upstream.Ready), 0)
	moved := startedAt(200, 1, upstream.Ready)
	moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
	d.Announce(epoch, moved, 0)
	d.Announce(epoch, announced(2, 1, upstream.Ready), 0)
	require.Equal(t, []bool{false, false}, replaced(d))
}
