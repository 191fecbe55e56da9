package members_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func heartbeat(address, zone string, age time.Duration) members.Heartbeat {
	return members.Heartbeat{Member: member.Member{Zone: zone, Address: address}, Age: age}
}

func TestZoneSortsMembersByAddress(t *testing.T) {
	m := members.New()
	m.Refresh(epoch, heartbeat("b2", "a", 0))
	m.Refresh(epoch, heartbeat("b1", "a", 0))
	m.Refresh(epoch, heartbeat("b3", "b", 0))
	m.Refresh(epoch, heartbeat("", "a", 0))
	zone := m.Zone("a")
	require.Len(t, zone, 2)
	require.Equal(t, "b1", zone[0].Address)
	require.Equal(t, uint64(2), m.Version("a"))
	m.Refresh(epoch.Add(time.Second), heartbeat("b2", "a", 0))
	require.Equal(t, uint64(2), m.Version("a"), "a refresh does not change the version")
}

// Two balancers reported the same follower to each other. Each report renewed the follower's
// lease as of the report's arrival instead of the follower's last refresh, so failed balancers
// stayed in the list for minutes.
func TestRelayedReportDoesNotExtendLease(t *testing.T) {
	m := members.New()
	for s := range 40 {
		now := epoch.Add(time.Duration(s) * time.Second)
		m.Refresh(now, heartbeat("b1", "a", time.Duration(s)*time.Second))
		m.Tick(now)
	}
	require.Empty(t, m.Zone("a"))
	require.Equal(t, uint64(2), m.Version("a"))
}

func TestOlderReportIsIgnored(t *testing.T) {
	m := members.New()
	m.Refresh(epoch, heartbeat("b1", "a", 0))
	m.Refresh(epoch, heartbeat("b1", "a", 20*time.Second))
	require.Equal(t, time.Second, m.Heartbeats(epoch.Add(time.Second))[0].Age)
}
