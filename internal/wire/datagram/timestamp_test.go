package datagram

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against the end of the process where the kernel gives datagrams no time of arrival.
func TestStampsThatAreNotThere(t *testing.T) {
	message := make([]byte, unix.CmsgSpace(16))
	binary.NativeEndian.PutUint64(message, uint64(unix.CmsgLen(16)))
	binary.NativeEndian.PutUint32(message[8:], unix.SOL_SOCKET)
	binary.NativeEndian.PutUint32(message[12:], unix.SCM_TIMESTAMPNS)
	binary.NativeEndian.PutUint64(message[unix.SizeofCmsghdr:], 5)
	binary.NativeEndian.PutUint64(message[unix.SizeofCmsghdr+8:], 7)
	at, told := stamp(message)
	require.True(t, told)
	require.Equal(t, time.Unix(5, 7), at)
	for size := range message {
		_, told := stamp(message[:size])
		require.False(t, told, "%d bytes", size)
	}
	message[12]++
	_, told = stamp(message)
	require.False(t, told, "of another kind")
}
