package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/feed"
)

// Guards against balancers that wait tens of seconds for a configuration after a power loss, because a
// voter sends each of them every upstream that it restored from its disk.
func TestFirstStateHoldsRestoredUpstreamsOfOwnZone(t *testing.T) {
	f := restoredFeed(func() time.Time { return epoch }, 10_000, 5)
	f.Announce(epoch, inZone(10_001, 3), 0)
	require.Equal(t, 2001, noticeCount(t, f, startingRequest("zone-1")), "2,000 of its zone, and the one that announced itself here")
	require.Equal(t, 2001, noticeCount(t, f, startingRequest("zone-2")))
}

// Guards against a voter that encodes its upstreams anew for each starting balancer, because each
// announcement changes the version of its directory.
func TestFirstStatesAreReusedWhileUpstreamsAnnounce(t *testing.T) {
	now := epoch
	f := restoredFeed(func() time.Time { return now }, 10_000, 5)
	versions := map[uint64]bool{}
	var first feed.Response
	for n := range 328 {
		now = now.Add(time.Millisecond)
		u := inZone(uint64(n+1), n%5)
		u.Sequence++
		f.Announce(now, u, 0)
		first = f.Since(t.Context(), startingRequest(fmt.Sprint("zone-", n%5)))
		versions[first.Version] = true
	}
	require.LessOrEqual(t, len(versions), 2, "encoded states in 0.3 s")
	f.Tick(now.Add(time.Minute / 2))
	later := f.Since(t.Context(), feed.Request{Life: first.Life, Version: first.Version, Recalled: true, Encoded: true, Self: self("b1", "zone-0")})
	require.Equal(t, f.Version(), later.Version)
	require.Len(t, later.Notices, int(f.Version()-first.Version), "what has changed since the state was encoded follows")
}

// Guards against a balancer that rejects the flows of a service whose upstreams are all in other zones.
func TestFirstStateHoldsServicesWithoutUpstreamsInOwnZone(t *testing.T) {
	f := restoredFeed(func() time.Time { return epoch }, 1000, 1)
	for n := range uint64(1000) {
		u := inZone(2000+n, 1)
		u.Service = "archive"
		f.Restore(epoch, u, 0)
	}
	a, err := f.Since(t.Context(), startingRequest("zone-0")).Decoded()
	require.NoError(t, err)
	services := map[string]int{}
	for _, n := range a.Notices {
		services[n.Upstream.Service]++
	}
	require.Equal(t, 1000, services["orders"])
	require.NotZero(t, services["archive"])
	require.Less(t, services["archive"], 100)
}

// Guards against a balancer that ends, or allocates without bound, on a damaged response.
func TestDamagedNoticesAreRejected(t *testing.T) {
	f := restoredFeed(func() time.Time { return epoch }, 10, 1)
	a := f.Since(t.Context(), startingRequest("zone-0"))
	require.Len(t, a.Packed, 1)
	whole := a.Packed[0]
	for name, damaged := range map[string][]byte{
		"empty": {}, "cut": whole[:len(whole)/2], "too large": {0xff, 0xff, 0xff, 0xff, 0x0f},
	} {
		a.Packed = [][]byte{damaged}
		_, err := a.Decoded()
		var packed *feed.PackedError
		require.ErrorAs(t, err, &packed, name)
	}
}
