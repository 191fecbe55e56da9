package allocation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/allocation"
	"wasabideal/internal/cookie/claims"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cookies hashes an incarnation to its decimal digits: 123 has the cookies 3, 2 and 1.
func cookies(incarnation, _ uint64, choice int) uint32 {
	for range choice {
		incarnation /= 10
	}
	return uint32(incarnation % 10)
}

// age is how long a balancer has known an upstream.
type age int

const (
	// fresh upstreams have just become known, and received ones came with the first state after a start.
	fresh age = iota
	received
	old
)

func add(a *allocation.Allocation[string], at time.Time, incarnation uint64, known age) *allocation.Holder[string] {
	since := map[age]time.Time{fresh: at.Add(allocation.SettlingPerLevel), received: at, old: at.Add(-time.Hour)}[known]
	i := allocation.Instance{Incarnation: incarnation}
	if h := a.Restore(i); h != nil {
		return h
	}
	h := &allocation.Holder[string]{}
	a.Add(at, h, i, "upstream", since)
	return h
}

func TestCookiesOfNewFlows(t *testing.T) {
	for name, c := range map[string]struct {
		// old, received and fresh upstreams are added in this order; claimed ones have a claim on their first
		// cookie.
		old, received, fresh, claimed []uint64
		// active are the cookies for new flows, 0 for none.
		active map[uint64]uint32
	}{
		"no shared cookie":                      {old: []uint64{321, 654}, active: map[uint64]uint32{321: 1, 654: 4}},
		"the upstream known for long keeps it":  {old: []uint64{321}, fresh: []uint64{541}, active: map[uint64]uint32{321: 1, 541: 4}},
		"neither of two received ones":          {received: []uint64{321, 541}, active: map[uint64]uint32{321: 2, 541: 4}},
		"neither of two new ones":               {fresh: []uint64{321, 541}, active: map[uint64]uint32{321: 2, 541: 4}},
		"the one with the claim":                {received: []uint64{321, 541}, claimed: []uint64{541}, active: map[uint64]uint32{321: 2, 541: 1}},
		"claims of both":                        {received: []uint64{321, 541}, claimed: []uint64{321, 541}, active: map[uint64]uint32{321: 2, 541: 4}},
		"a claim of an unknown upstream":        {received: []uint64{321}, claimed: []uint64{541}, active: map[uint64]uint32{321: 2}},
		"a further cookie of another upstream":  {old: []uint64{321}, fresh: []uint64{213}, active: map[uint64]uint32{321: 1, 213: 0}},
		"all cookies are those of other ones":   {old: []uint64{987, 654}, fresh: []uint64{879}, active: map[uint64]uint32{987: 7, 654: 4, 879: 0}},
		"two equal cookies of one upstream":     {old: []uint64{311}, fresh: []uint64{451}, active: map[uint64]uint32{311: 1, 451: 5}},
		"three upstreams with the same cookies": {old: []uint64{321}, fresh: []uint64{541, 761}, active: map[uint64]uint32{321: 1, 541: 4, 761: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			a := allocation.New[string](cookies)
			holders := map[uint64]*allocation.Holder[string]{}
			for _, x := range []struct {
				ids   []uint64
				known age
			}{{c.old, old}, {c.received, received}, {c.fresh, fresh}} {
				for _, id := range x.ids {
					holders[id] = add(a, now, id, x.known)
				}
			}
			for _, id := range c.claimed {
				a.Merge(claims.Set{}.With(claims.Claim{Cookie: cookies(id, 0, 0), Incarnation: id}))
			}
			for id, active := range c.active {
				require.Equal(t, active, holders[id].Active(), id)
				if active != 0 {
					require.Same(t, holders[id], a.Lookup(active))
				}
			}
		})
	}
}

// An upstream that is forgotten and becomes known again within the lifetime of its flows, for instance after
// a cut, keeps its cookies and stays established.
func TestForgottenUpstreamReturns(t *testing.T) {
	a := allocation.New[string](cookies)
	h := add(a, now, 321, old)
	a.Retire(now, h)
	later := now.Add(time.Minute)
	require.Same(t, h, add(a, later, 321, fresh))
	require.True(t, h.Established(later))
	a.Expire(now.Add(time.Hour))
	require.Same(t, h, a.Lookup(1))
}

// The cookies of an upstream that was forgotten are free after the lifetime of its flows; shared ones stay shared.
func TestCookiesOfForgottenUpstreamExpire(t *testing.T) {
	a := allocation.New[string](cookies)
	a.Retire(now, add(a, now, 321, fresh))
	a.Retire(now, add(a, now, 654, fresh))
	other := add(a, now, 541, fresh)
	require.Equal(t, []claims.Claim{{Cookie: 1}, {Cookie: 4}, {Cookie: 5}}, a.Claims().All())
	require.Zero(t, other.Active())
	for _, after := range []time.Duration{80 * time.Second, 100 * time.Second} {
		a.Expire(now.Add(after))
		require.Equal(t, after > 90*time.Second, a.Lookup(2) == nil)
		require.Zero(t, other.Active())
	}
}

// After a loss of power, balancers heard of different ones of two upstreams with one cookie first, and used it for
// both.
func TestSharedCookieIsNotUsedForTheOnlyKnownUpstream(t *testing.T) {
	before := allocation.New[string](cookies)
	add(before, now, 321, received)
	add(before, now, 541, received)
	for id, active := range map[uint64]uint32{321: 2, 541: 4} {
		a := allocation.New[string](cookies)
		a.Merge(before.Claims())
		h := add(a, now, id, received)
		require.Equal(t, active, h.Active())
		require.Nil(t, a.Lookup(1))
	}
}

func TestChangesAreReportedOnce(t *testing.T) {
	a := allocation.New[string](cookies)
	first := add(a, now, 321, received)
	reactivated, resolved := a.TakeChanges()
	require.Equal(t, []*allocation.Holder[string]{first}, reactivated)
	require.Empty(t, resolved)
	second := add(a, now, 541, received)
	reactivated, resolved = a.TakeChanges()
	require.Subset(t, reactivated, []*allocation.Holder[string]{first, second})
	require.Equal(t, []uint32{1}, resolved)
	reactivated, resolved = a.TakeChanges()
	require.Empty(t, reactivated)
	require.Empty(t, resolved)
}
