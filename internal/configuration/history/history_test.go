package history_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/model/configuration"
)

func routes(revision uint64, ports ...uint16) configuration.Configuration {
	c := configuration.Configuration{Revision: revision}
	for _, p := range ports {
		c.Routes = append(c.Routes, configuration.Route{
			Name: fmt.Sprint("r-", p), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), p),
		})
	}
	return c
}

// A route is inserted between two others, so the follower's copy has the same parts in another
// order. With a digest that depends on the order, each change would cause full downloads: 120 kB
// from every voter over a link of 2 Mbit/s.
func TestDigestIsIndependentOfOrder(t *testing.T) {
	h := history.New(8).With(routes(1, 80, 443)).With(routes(2, 80, 8080, 443)).With(routes(5, 9090, 8080))
	response := h.Since(1)
	require.Len(t, response.Deltas, 2)
	c, err := history.Apply(routes(1, 80, 443), response)
	require.NoError(t, err)
	require.Equal(t, uint64(5), c.Revision)
	require.ElementsMatch(t, routes(5, 9090, 8080).Routes, c.Routes)
}

func TestDeltaOnDifferentConfigurationIsRejected(t *testing.T) {
	h := history.New(8).With(routes(1, 80)).With(routes(2, 80, 443))
	_, err := history.Apply(routes(1, 81), h.Since(1))
	var digest *history.DigestError
	require.ErrorAs(t, err, &digest)
}
