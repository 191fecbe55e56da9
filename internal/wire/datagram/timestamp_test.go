package datagram

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a panic on a missing or truncated receive timestamp.
func TestParseTimestamp(t *testing.T) {
	message := make([]byte, unix.CmsgSpace(16))
	binary.NativeEndian.PutUint64(message, uint64(unix.CmsgLen(16)))
	binary.NativeEndian.PutUint32(message[8:], unix.SOL_SOCKET)
	binary.NativeEndian.PutUint32(message[12:], unix.SCM_TIMESTAMPNS)
	binary.NativeEndian.PutUint64(message[unix.SizeofCmsghdr:], 5)
	binary.NativeEndian.PutUint64(message[unix.SizeofCmsghdr+8:], 7)
	at, ok := parseTimestamp(message)
	require.True(t, ok)
	require.Equal(t, time.Unix(5, 7), at)
	for size := range message {
		_, ok := parseTimestamp(message[:size])
		require.False(t, ok, "%d bytes", size)
	}
	message[12]++
	_, ok = parseTimestamp(message)
	require.False(t, ok, "other message type")
}
