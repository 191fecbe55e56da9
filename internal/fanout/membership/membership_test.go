package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/membership"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func list(version uint64, addresses ...string) membership.List {
	l := membership.List{Life: 1, Version: version}
	for _, a := range addresses {
		l.Members = append(l.Members, member.Member{Zone: "a", Address: a})
	}
	return l
}

func TestListsAreMerged(t *testing.T) {
	c := membership.New()
	c.SetList(epoch, "v1", list(1, "b2", "b1"))
	c.SetList(epoch, "v2", list(1, "b3"))
	require.Equal(t, []string{"b1", "b2", "b3"}, c.Addresses())
	require.Equal(t, uint64(1), c.List("v1").Version)
	version := c.Version()
	c.SetList(epoch, "v3", list(1, "b1"))
	require.Equal(t, version, c.Version(), "the members are unchanged")
}

// Voters restart and at first know only the balancers that poll them. Balancers missing from
// their lists were removed at once, so all balancers of a zone changed their parents twice within
// seconds.
func TestIncompleteListRemovesNoBalancerAtOnce(t *testing.T) {
	c := membership.New()
	c.SetList(epoch, "v1", list(1, "b1", "b2", "b3"))
	version := c.Version()
	c.SetList(epoch.Add(time.Second), "v1", list(2, "b1"))
	require.Equal(t, []string{"b1", "b2", "b3"}, c.Addresses())
	require.Equal(t, version, c.Version())
	require.False(t, c.Tick(epoch.Add(20*time.Second)))
	require.True(t, c.Tick(epoch.Add(40*time.Second)))
	require.Equal(t, []string{"b1"}, c.Addresses())
}

func TestBalancersOfRemovedSourceExpire(t *testing.T) {
	c := membership.New()
	c.SetList(epoch, "v1", list(1, "b1"))
	c.RemoveSource(epoch, "v1")
	c.RemoveSource(epoch, "v2")
	require.Equal(t, []string{"b1"}, c.Addresses())
	require.Zero(t, c.List("v1").Version, "the list is requested again")
	require.True(t, c.Tick(epoch.Add(time.Minute)))
	require.Empty(t, c.Members())
}
