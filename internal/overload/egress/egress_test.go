package egress_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/overload/egress"
)

const bandwidth = 250_000

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// link holds 50 ms of packets. Packets that it drops use bandwidth as well.
type link struct {
	queued time.Duration
	at     time.Time
	passed int
}

func (l *link) offer(now time.Time, size int) {
	l.queued = max(l.queued-now.Sub(l.at), 0)
	l.at = now
	if l.queued <= 50*time.Millisecond {
		l.passed += size
	}
	l.queued += time.Duration(float64(size) / bandwidth * float64(time.Second))
}

// Guards against a link that carries next to nothing because it is offered more than its bandwidth.
func TestOverloadedLinkCarriesItsBandwidth(t *testing.T) {
	for _, offered := range []float64{1.2, 1.6, 2.4} {
		const size, seconds = 102, 2.0
		var without, with link
		q := egress.New(bandwidth)
		n := int(offered * bandwidth / size * seconds)
		for i := range n {
			now := start.Add(time.Duration(float64(i) / float64(n) * seconds * float64(time.Second)))
			without.offer(now, size)
			if q.Send(now, egress.Ordinary, size) {
				with.offer(now, size)
			}
		}
		require.Less(t, float64(without.passed), 0.3*bandwidth*seconds, offered)
		require.Greater(t, float64(with.passed), 0.9*bandwidth*seconds, offered)
	}
}

// Guards against retransmitted openings that displace the packets of open flows.
func TestRetransmittedOpeningsAreDroppedFirst(t *testing.T) {
	q := egress.New(bandwidth)
	for q.Send(start, egress.RetransmittedOpening, 102) {
		continue
	}
	require.Less(t, q.Delay(start), 25*time.Millisecond)
	require.True(t, q.Send(start, egress.Ordinary, 1300))
	for q.Send(start, egress.Ordinary, 102) {
		continue
	}
	require.LessOrEqual(t, q.Delay(start), 45*time.Millisecond)
	require.True(t, q.Send(start.Add(25*time.Millisecond), egress.RetransmittedOpening, 102))
}

// Guards against a queue that grows without limit, drains below empty, or stays closed.
func TestQueueStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := egress.New(bandwidth), start
		for range rapid.IntRange(1, 200).Draw(t, "packets") {
			now = now.Add(time.Duration(rapid.IntRange(-20, 60).Draw(t, "ms")) * time.Millisecond)
			size := rapid.IntRange(1, 1400).Draw(t, "size")
			before := q.Delay(now)
			if q.Send(now, egress.Kind(rapid.IntRange(0, 1).Draw(t, "kind")), size) {
				require.LessOrEqual(t, q.Delay(now), 45*time.Millisecond+time.Microsecond)
			} else {
				require.Equal(t, before, q.Delay(now))
			}
			require.GreaterOrEqual(t, q.Delay(now), time.Duration(0))
		}
		require.True(t, q.Send(now.Add(time.Second), egress.Ordinary, 1400))
	})
}
