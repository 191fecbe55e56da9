package linkbudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/overload/linkbudget"
)

// drawFlow draws a new flow of any class and tier.
func drawFlow(t *rapid.T) linkbudget.Flow {
	return linkbudget.Flow{
		Class:  linkbudget.Class(rapid.IntRange(int(linkbudget.Idempotent), int(linkbudget.Other)).Draw(t, "class")),
		Urgent: rapid.Bool().Draw(t, "urgent"),
	}
}

// step applies a random event to a link and returns the time after it.
func step(t *rapid.T, l *linkbudget.Link, now time.Time, earliest time.Duration) time.Time {
	now = now.Add(time.Duration(rapid.Int64Range(int64(earliest), int64(20*time.Millisecond)).Draw(t, "pause")))
	d := linkbudget.Direction(rapid.IntRange(int(linkbudget.In), int(linkbudget.Out)).Draw(t, "direction"))
	size := rapid.IntRange(28, 1500).Draw(t, "size")
	switch f := drawFlow(t); rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1:
		if !l.Rejects(now, f) {
			l.Admit(now, f.Class)
		}
	case 2:
		l.RecordAdmitted(now, d, f.Class, size)
	case 3:
		l.RecordOther(now, d, size)
	case 4:
		l.RecordPaced(now, d, size)
	case 5:
		l.RecordMeasured(now, time.Duration(rapid.IntRange(-50, 500).Draw(t, "measured"))*time.Millisecond)
	case 6:
		l.RecordPending(now)
	case 7:
		l.RecordCompleted(now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "handshake")) * time.Millisecond))
	}
	return now
}

// Guards against negative queues, which would admit flows without limit, against rejecting an urgent
// flow where an ordinary one is admitted, and against a clock step that closes the link.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := linkbudget.New(bandwidth), epoch
		earliest := rapid.SampledFrom([]time.Duration{0, -time.Second, -time.Hour}).Draw(t, "earliest")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = step(t, l, now, earliest)
			require.GreaterOrEqual(t, l.Delay(now), time.Duration(0))
			require.GreaterOrEqual(t, l.Use(now), 0.0)
			ordinary, urgent := drawFlow(t), drawFlow(t)
			ordinary.Urgent, urgent.Urgent = false, true
			if !l.Rejects(now, ordinary) {
				require.False(t, l.Rejects(now, urgent))
			}
			if l.Rejects(now, ordinary) {
				require.True(t, l.MayReject(now))
			}
		}
		// Without traffic the queue drains: no link stays closed.
		now = now.Add(l.Delay(now) + 250*time.Millisecond)
		require.Zero(t, l.Delay(now))
		require.False(t, l.Delayed(now))
		require.False(t, l.MayReject(now))
		require.False(t, l.Rejects(now, drawFlow(t)))
	})
}

// Guards against admitting more than the link carries, however flows, their costs and other packets
// arrive: the admitted bytes would queue at the link.
func TestAdmittedBytesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type admitted struct {
			at    time.Time
			bytes float64
		}
		l, now := linkbudget.New(bandwidth), epoch
		var all []admitted
		sum, first, largest := 0.0, 0, 0.0
		for range rapid.IntRange(1, 500).Draw(t, "flows") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "pause")) * time.Microsecond)
			f := drawFlow(t)
			if l.Rejects(now, f) {
				l.RecordOther(now, linkbudget.Out, 64)
				continue
			}
			bytes := float64(l.Cost(f.Class, linkbudget.Out))
			l.Admit(now, f.Class)
			l.RecordAdmitted(now, linkbudget.Out, f.Class, rapid.IntRange(0, 3000).Draw(t, "size"))
			all, sum, largest = append(all, admitted{now, bytes}), sum+bytes, max(largest, bytes)
			for now.Sub(all[first].at) >= time.Second {
				sum -= all[first].bytes
				first++
			}
			require.LessOrEqual(t, sum, bandwidth*(1+0.08)+largest)
		}
	})
}

// A flow that costs more than the queue may hold was rejected on an idle link.
func TestExpensiveFlowsAreAdmittedOnIdleLink(t *testing.T) {
	l, now := linkbudget.New(bandwidth), epoch
	for range 1000 {
		now = now.Add(time.Second)
		require.False(t, l.Rejects(now, linkbudget.Flow{Class: linkbudget.Download}))
		l.Admit(now, linkbudget.Download)
		l.RecordAdmitted(now, linkbudget.In, linkbudget.Download, 30_000)
	}
	require.InDelta(t, 30_000, l.Cost(linkbudget.Download, linkbudget.In), 500)
}

// A process that stood still reads many packets at once, which have left the link's queue long ago.
// Openings after the pause were rejected.
func TestPacketsReadAfterPauseAreNotQueued(t *testing.T) {
	l, now := linkbudget.New(bandwidth), epoch
	l.RecordOther(now, linkbudget.In, 64)
	now = now.Add(300 * time.Millisecond)
	for range 100 {
		l.RecordOther(now, linkbudget.In, 500)
	}
	require.False(t, l.Rejects(now, linkbudget.Flow{}))
}

// Handshakes with upstreams of another zone take longer, and would close a link that is hardly used.
func TestMeasuredDelayIsIgnoredOnQuietLink(t *testing.T) {
	l := linkbudget.New(bandwidth)
	l.RecordMeasured(epoch, 100*time.Millisecond)
	require.False(t, l.Rejects(epoch, linkbudget.Flow{}))
	now := epoch
	for range 500 {
		now = now.Add(time.Millisecond)
		l.RecordPaced(now, linkbudget.In, 200)
	}
	l.RecordMeasured(now, 100*time.Millisecond)
	require.InDelta(t, 100, l.Delay(now).Milliseconds(), 1)
	require.True(t, l.Rejects(now, linkbudget.Flow{Urgent: true}))
	require.True(t, l.Delayed(now))
	require.True(t, l.Delayed(now.Add(200*time.Millisecond)), "packets that were queued are still retransmitted")
	require.False(t, l.Delayed(now.Add(400*time.Millisecond)))
}

// congestion is a link on which the given share of the bandwidth is received every millisecond, by flows
// admitted before.
type congestion struct {
	*linkbudget.Link
	now     time.Time
	share   float64
	pending []time.Time
}

// newCongestion returns a link at three quarters of its bandwidth, with handshakes of 5 ms.
func newCongestion() *congestion {
	c := &congestion{Link: linkbudget.New(bandwidth), now: epoch, share: 0.75}
	c.RecordBase(5 * time.Millisecond)
	c.pass(time.Second, func() {})
	return c
}

// pass runs a function in each millisecond.
func (c *congestion) pass(d time.Duration, each func()) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(time.Millisecond)
		c.RecordAdmitted(c.now, linkbudget.In, linkbudget.Other, int(c.share*bandwidth/1000))
		each()
	}
}

// open opens a flow if it is not rejected, and reports whether it was admitted.
func (c *congestion) open(f linkbudget.Flow) bool {
	c.RecordPending(c.now)
	if c.Rejects(c.now, f) {
		return false
	}
	c.Admit(c.now, f.Class)
	c.pending = append(c.pending, c.now)
	return true
}

// complete completes the handshakes of the flows opened so far.
func (c *congestion) complete() {
	for _, at := range c.pending {
		c.RecordCompleted(at)
	}
	c.pending = nil
}

// A queue of 2 s is in front of the link, so that its whole bandwidth is received, and no handshake
// completes. All openings were admitted, since only completed handshakes showed a delay.
func TestPendingOpeningsShowDelay(t *testing.T) {
	c := newCongestion()
	c.share = 1
	began, admitted, lastAdmitted := c.now, 0, c.now
	c.pass(1990*time.Millisecond, func() {
		if c.now.UnixMilli()%5 == 0 && c.open(linkbudget.Flow{Urgent: c.now.UnixMilli()%10 == 0}) {
			admitted, lastAdmitted = admitted+1, c.now
		}
	})
	t.Logf("%d openings admitted, the last one after %v", admitted, lastAdmitted.Sub(began))
	require.Less(t, lastAdmitted.Sub(began), 120*time.Millisecond)
	require.Less(t, admitted, 30)
	require.True(t, c.Delayed(c.now))

	// The queue is empty: the pending handshakes complete, and later ones take 5 ms.
	c.share = 0.75
	c.complete()
	drained, first := c.now, time.Duration(0)
	c.pass(time.Second, func() {
		if c.now.UnixMilli()%5 == 0 {
			c.complete()
			admitted := c.open(linkbudget.Flow{})
			if admitted && first == 0 {
				first = c.now.Sub(drained)
			}
			require.True(t, admitted || c.now.Sub(drained) < 500*time.Millisecond)
		}
	})
	t.Logf("first admitted %v after the queue", first)
	require.Less(t, first, 500*time.Millisecond)
}

// Guards against delays that pending openings do not show: of two openings, of openings that later
// ones overtake, and on a link that is used too little, when full upstreams do not answer.
func TestPendingOpeningsWithoutDelay(t *testing.T) {
	for _, x := range []struct {
		name     string
		share    float64
		openings int
		overtake bool
		delayed  bool
	}{
		{"three pending openings", 0.8, 3, false, true},
		{"two lost packets", 0.8, 2, false, false},
		{"an upstream that does not answer", 0.8, 10, true, false},
		{"full upstreams", 0.6, 10, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCongestion()
			c.share = x.share
			c.pass(time.Second, func() {})
			for range x.openings {
				require.True(t, c.open(linkbudget.Flow{Urgent: true}))
				c.pass(5*time.Millisecond, func() {})
			}
			if x.overtake {
				c.Admit(c.now, linkbudget.Other)
				c.pass(5*time.Millisecond, func() {})
				c.RecordCompleted(c.now.Add(-5 * time.Millisecond))
			}
			c.pass(150*time.Millisecond, func() {})
			c.RecordPending(c.now)
			require.Equal(t, x.delayed, c.Rejects(c.now, linkbudget.Flow{}))
		})
	}
}

// A balancer that starts behind a full link knows of no handshake. Guards against one that never learns
// of the delay, and one that takes a long path for a queue.
func TestPendingOpeningsWithUnknownBase(t *testing.T) {
	c := &congestion{Link: linkbudget.New(bandwidth), now: epoch, share: 0.8}
	c.pass(time.Second, func() {})
	for range 3 {
		require.True(t, c.open(linkbudget.Flow{}))
	}
	c.pass(90*time.Millisecond, func() {})
	c.RecordPending(c.now)
	require.False(t, c.Rejects(c.now, linkbudget.Flow{}))
	c.pass(60*time.Millisecond, func() {})
	c.RecordPending(c.now)
	require.True(t, c.Rejects(c.now, linkbudget.Flow{}))
}

// Guards against more openings than are kept, which must not hide that the oldest are pending, and
// against openings that count for good.
func TestManyPendingOpenings(t *testing.T) {
	c := newCongestion()
	for range 1000 {
		c.Admit(c.now, linkbudget.Other)
	}
	c.pass(1990*time.Millisecond, func() {})
	c.RecordPending(c.now)
	require.True(t, c.Rejects(c.now, linkbudget.Flow{Urgent: true}))
	c.pass(500*time.Millisecond, func() {})
	c.RecordPending(c.now)
	require.False(t, c.Rejects(c.now, linkbudget.Flow{}))
}

// The handshakes that end while the process stands still seem to take as long as the pause. Openings
// were rejected afterwards, so that no shorter handshake was measured.
func TestHandshakesDelayedByPauseAreIgnored(t *testing.T) {
	l, now := linkbudget.New(bandwidth), epoch
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Millisecond)
			l.RecordPaced(now, linkbudget.In, 230)
		}
	}
	pass(time.Second)
	now = now.Add(30 * time.Millisecond)
	require.Greater(t, l.Use(now), 0.75)
	l.RecordMeasured(now, 80*time.Millisecond)
	require.False(t, l.Rejects(now, linkbudget.Flow{}))
	pass(130 * time.Millisecond)
	l.RecordMeasured(now, 80*time.Millisecond)
	require.True(t, l.Rejects(now, linkbudget.Flow{}), "the pause is over")
}

func BenchmarkRecordAdmitted(b *testing.B) {
	l, now := linkbudget.New(bandwidth), epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		l.RecordAdmitted(now, linkbudget.In, linkbudget.Idempotent, 100)
		l.RecordAdmitted(now, linkbudget.Out, linkbudget.Idempotent, 108)
	}
}

func BenchmarkAdmit(b *testing.B) {
	l, now := linkbudget.New(bandwidth), epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(4 * time.Millisecond)
		if !l.MayReject(now) || !l.Rejects(now, linkbudget.Flow{}) {
			l.Admit(now, linkbudget.Idempotent)
			l.RecordAdmitted(now, linkbudget.In, linkbudget.Idempotent, 800)
			l.RecordAdmitted(now, linkbudget.Out, linkbudget.Idempotent, 800)
		}
	}
}
