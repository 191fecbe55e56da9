package upstream_test

import (
	"encoding/hex"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/upstream"
)

// Earlier versions write records of eight fields, without the start time. These records must
// stay readable.
func TestUpstreamWithoutStartTimeKeepsEarlierEncoding(t *testing.T) {
	const before = "88616146010203040500076060020000"
	data, err := hex.DecodeString(before)
	require.NoError(t, err)
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "a", Address: netip.MustParseAddrPort("1.2.3.4:5"), Incarnation: 7}, Slots: 2,
	}
	var read upstream.Upstream
	require.NoError(t, cbor.Unmarshal(data, &read))
	require.Equal(t, u, read)
	written, err := cbor.Marshal(u)
	require.NoError(t, err)
	require.Equal(t, before, hex.EncodeToString(written))
}

func TestUpstreamWithStartTimeRoundTrip(t *testing.T) {
	u := upstream.Upstream{Identity: upstream.Identity{Service: "a", Incarnation: 7}, Sequence: 3, Born: 1790000000123}
	data, err := cbor.Marshal([]upstream.Upstream{u})
	require.NoError(t, err)
	var read []upstream.Upstream
	require.NoError(t, cbor.Unmarshal(data, &read))
	require.Equal(t, []upstream.Upstream{u}, read)
}

func TestTruncatedUpstreamIsRejected(t *testing.T) {
	for _, data := range []string{"", "88", "8961", "01"} {
		b, err := hex.DecodeString(data)
		require.NoError(t, err)
		var u upstream.Upstream
		require.Error(t, u.UnmarshalCBOR(b), data)
	}
}

// FuzzUnmarshal checks that decoded upstreams survive a round trip, and that other data
// from voters or disks does not crash a process.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{"88616146010203040500076060020000", "8961614601020304050007606002000005", "80", "9fff"} {
		data, err := hex.DecodeString(seed)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var u upstream.Upstream
		if u.UnmarshalCBOR(data) != nil {
			return
		}
		written, err := u.MarshalCBOR()
		require.NoError(t, err)
		var again upstream.Upstream
		require.NoError(t, again.UnmarshalCBOR(written))
		require.Equal(t, u, again)
	})
}
