package recent_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/upstream/recent"
)

func TestSetOfManyUpstreamsHoldsAll(t *testing.T) {
	few := recent.Of([]uint64{3, 5})
	require.True(t, few.Has(5))
	require.False(t, few.Has(4))
	require.True(t, recent.Of(make([]uint64, 1000)).Has(4))
	require.False(t, recent.Set{}.Has(4))
}
