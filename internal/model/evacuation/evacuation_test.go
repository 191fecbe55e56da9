package evacuation_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/evacuation"
)

func TestLatestOrderOfEachZoneIsStored(t *testing.T) {
	var e evacuation.Evacuations
	first := e.WithOrder(evacuation.Zone{Name: "b", Evacuated: true})
	second := first.WithOrder(evacuation.Zone{Name: "a", Evacuated: true})
	third := second.WithOrder(evacuation.Zone{Name: "b"})
	require.Zero(t, e.Revision, "immutable")
	require.Equal(t, []string{"b"}, first.EvacuatedZones())
	require.Equal(t, []string{"a", "b"}, second.EvacuatedZones())
	require.Equal(t, []string{"a"}, third.EvacuatedZones())
	require.Equal(t, uint64(3), third.Lookup("b").Revision, "a zone keeps the revision at which its evacuation ended")
	require.False(t, third.Evacuated("c"))
}

func TestInvalidZoneNamesAreRejected(t *testing.T) {
	var e evacuation.Evacuations
	for _, name := range []string{"", strings.Repeat("x", 64), "a\nb", "a\x00"} {
		var invalid *evacuation.InvalidError
		require.ErrorAs(t, e.Check(name), &invalid)
	}
	for i := range 64 {
		require.NoError(t, e.Check(fmt.Sprint("zone-", i)))
		e = e.WithOrder(evacuation.Zone{Name: fmt.Sprint("zone-", i), Evacuated: true})
	}
	require.Error(t, e.Check("one-more"))
	require.NoError(t, e.Check("zone-3"), "a stored zone accepts further orders")
}
