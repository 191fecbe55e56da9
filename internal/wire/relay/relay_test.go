package relay_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/wire/relay"
)

func TestHeaderRoundTrip(t *testing.T) {
	h := relay.Header{
		Flags: relay.FlagHasEntry, State: 2, Hops: 1, Origin: netip.MustParseAddrPort("127.0.0.1:7400"),
		Target: relay.Target{Incarnation: 1 << 60, Service: 7, Address: [4]byte{10, 0, 0, 1}, Port: 6080},
	}
	h.AddHop(netip.MustParseAddrPort("127.0.0.2:7400"))
	h.AddHop(netip.MustParseAddrPort("127.0.0.3:7400"))
	b := append(h.Append(nil), "packet"...)
	var got relay.Header
	packet, err := relay.Decode(b, &got)
	require.NoError(t, err)
	require.Equal(t, "packet", string(packet))
	require.Equal(t, h, got)
	next, ok := got.NextHop()
	require.True(t, ok)
	require.Equal(t, "127.0.0.2:7400", next.String())
}

func FuzzDecode(f *testing.F) {
	h := relay.Header{Flags: relay.FlagLookup}
	h.AddHop(netip.MustParseAddrPort("127.0.0.2:7400"))
	f.Add(h.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var h relay.Header
		packet, err := relay.Decode(b, &h)
		if err == nil && len(packet) > len(b) {
			t.Fatal("packet longer than its datagram")
		}
	})
}
