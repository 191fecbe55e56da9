package claims_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/cookie/claims"
)

func drawSet(t *rapid.T) claims.Set {
	return claims.Set{}.With(rapid.SliceOf(rapid.Custom(func(t *rapid.T) claims.Claim {
		return claims.Claim{Cookie: rapid.Uint32Range(1, 3).Draw(t, "cookie"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Born: rapid.Uint64Range(0, 2).Draw(t, "born")}
	})).Draw(t, "claims")...)
}

// Processes merge sets in different orders and must reach the same set.
func TestMergingIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSet(t), drawSet(t), drawSet(t)
		left := a.With(b.All()...).With(c.All()...)
		right := c.With(a.All()...).With(b.All()...).With(a.All()...)
		require.Equal(t, left.All(), right.All())
		require.Equal(t, left.Digest(), right.Digest())
		require.True(t, left.Includes(a) && left.Includes(b) && left.Includes(c))
		require.Equal(t, a.Digest() == b.Digest(), a.Includes(b) && b.Includes(a))
		for cookie := range uint32(4) {
			for _, x := range left.Of(cookie) {
				require.Equal(t, cookie, x.Cookie)
			}
		}
	})
}

func TestFullSetKeepsLatestInstances(t *testing.T) {
	var early, late claims.Set
	for n := range uint64(1500) {
		early = early.With(claims.Claim{Cookie: uint32(n), Incarnation: n, Born: n})
		late = late.With(claims.Claim{Cookie: uint32(n), Incarnation: n, Born: 10_000 + n})
	}
	require.Equal(t, 1024, early.Len())
	require.Equal(t, late.All(), early.With(late.All()...).All())
	require.Equal(t, late.All(), late.With(early.All()...).All())
}

func TestEmptySet(t *testing.T) {
	var s claims.Set
	require.Zero(t, s.Digest())
	require.Empty(t, s.Of(1))
	require.True(t, s.Includes(claims.Set{}))
	require.False(t, s.Includes(s.With(claims.Claim{Cookie: 1})))
}
