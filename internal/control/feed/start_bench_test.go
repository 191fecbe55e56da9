package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
)

// restoredFeed returns the feed of a voter that has restored upstreams of several zones from its disk.
func restoredFeed(clock func() time.Time, upstreams, zones int) *feed.Feed {
	f := feed.New(1, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), clock)
	for n := range upstreams {
		f.Restore(clock(), inZone(uint64(n+1), n%zones), 0)
	}
	return f
}

func inZone(incarnation uint64, zone int) upstream.Upstream {
	u := announced(incarnation)
	u.Zone, u.Slots, u.Born = fmt.Sprint("zone-", zone), 2, 1785000000000+incarnation
	return u
}

// BenchmarkFirstStateAfterPowerLoss measures what a voter spends on the first response to a starting
// balancer while restored upstreams announce themselves.
func BenchmarkFirstStateAfterPowerLoss(b *testing.B) {
	now := epoch
	f := restoredFeed(func() time.Time { return now }, 10_000, 5)
	n, bytes := 0, 0
	for b.Loop() {
		n++
		now = now.Add(time.Millisecond)
		u := inZone(uint64(n%10_000+1), n%10_000%5)
		u.Sequence = uint64(n + 2)
		f.Announce(now, u, 0)
		a := f.Since(b.Context(), feed.Request{From: "b", Recalled: true, Encoded: true, Unconfigured: true, Self: self("b", fmt.Sprint("zone-", n%5))})
		require.NotZero(b, a.Version)
		bytes = len(a.Encoded) + len(a.Elsewhere)
	}
	b.ReportMetric(float64(bytes), "bytes")
}
