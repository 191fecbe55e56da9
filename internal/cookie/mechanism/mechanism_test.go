package mechanism_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/mechanism"
)

func TestParse(t *testing.T) {
	o, err := mechanism.Parse("Slowness, Admission")
	require.NoError(t, err)
	require.True(t, o.Has(mechanism.Admission))
	require.False(t, o.Has(mechanism.OwnZone))
	require.Equal(t, "Admission,Slowness", o.String())
	o, err = mechanism.Parse("")
	require.NoError(t, err)
	require.Empty(t, o.String())
	var unknown *mechanism.UnknownError
	_, err = mechanism.Parse("Magic")
	require.ErrorAs(t, err, &unknown)
}
