package cookie

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/model/configuration"
)

// configurationOf returns a configuration with a number of routes.
func configurationOf(routes int) configuration.Configuration {
	c := configuration.Configuration{Revision: 42}
	for n := range routes {
		c.Routes = append(c.Routes, configuration.Route{
			Name: fmt.Sprint("route-", n), Service: "orders", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
		})
	}
	return c
}

// Guards against followers that keep an older configuration because their restarted parent, which has no
// changes to send, rejects a configuration that its link carries easily.
func TestRestartedParentSendsWholeConfigurationOverFastLink(t *testing.T) {
	for megabits, want := range map[float64]bool{0: false, 2: false, 10: true} {
		x := &fanout{history: history.New(maxDeltas).With(configurationOf(400)), maxConfiguration: maxConfigurationBytes(megabits*125_000, 8)}
		body, err := x.configuration(40)
		if want {
			require.NoError(t, err)
			require.Greater(t, len(body), 10_000)
			continue
		}
		var oversize *OversizeError
		require.True(t, errors.As(err, &oversize), "%v Mbit/s", megabits)
	}
}
