package run_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/soak/run"
)

// More VMs are configured than there are addresses. Guards against a panic.
func TestSettingsOutOfBoundsAreRejected(t *testing.T) {
	_, err := run.Execute(t.Context(), run.Settings{Zones: 3, Balancers: 6, Upstreams: 8, Callers: 100_000})
	var setting *run.SettingError
	require.ErrorAs(t, err, &setting)
	require.Equal(t, "Callers", setting.Name)
	require.Equal(t, "Callers is 100000; allowed: 1 to 5000", err.Error())
}
