package ipv4_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/standin/segment"
	"wasabideal/internal/wire/ipv4"
)

func syn(t testing.TB) []byte {
	p, err := segment.Segment{
		Source: netip.MustParseAddrPort("100.64.0.1:4000"), Destination: netip.MustParseAddrPort("10.0.0.1:80"), SYN: true,
	}.Packet()
	require.NoError(t, err)
	return p
}

func TestParseRejectsPacketsWithoutFlow(t *testing.T) {
	var p ipv4.Parser
	good := syn(t)
	require.NoError(t, p.Parse(good))
	require.True(t, p.Opening)
	require.Equal(t, "10.0.0.1:80", p.Key.Service().String())
	for name, change := range map[string]func([]byte) []byte{
		"first fragment":    func(b []byte) []byte { b[6] |= 0x20; return b },
		"later fragment":    func(b []byte) []byte { b[7] = 8; return b },
		"version 6":         func(b []byte) []byte { b[0] = 0x65; return b },
		"truncated":         func(b []byte) []byte { return b[:30] },
		"trailing byte":     func(b []byte) []byte { return append(b, 0) },
		"unknown transport": func(b []byte) []byte { b[9] = 1; return b },
		"empty":             func([]byte) []byte { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			var malformed *ipv4.MalformedError
			require.ErrorAs(t, p.Parse(change(syn(t))), &malformed)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(syn(f))
	var p ipv4.Parser
	f.Fuzz(func(_ *testing.T, b []byte) { _ = p.Parse(b) })
}
