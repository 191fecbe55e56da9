package datagram

import (
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// controlSize is the buffer size for a single control message, the receive timestamp.
const controlSize = 64

// enableTimestamps requests a receive timestamp for each datagram. If the kernel refuses,
// datagrams have none.
func enableTimestamps(c *net.UDPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("access the raw socket: %w", err)
	}
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
}

// parseTimestamp decodes the receive timestamp in the control message of a datagram: seconds and
// nanoseconds since 1970. The bool is false if the timestamp is missing or truncated.
func parseTimestamp(control []byte) (time.Time, bool) {
	if len(control) < unix.SizeofCmsghdr {
		return time.Time{}, false
	}
	head, body, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || head.Level != unix.SOL_SOCKET || head.Type != unix.SCM_TIMESTAMPNS || len(body) < 16 {
		return time.Time{}, false
	}
	return time.Unix(int64(binary.NativeEndian.Uint64(body)), int64(binary.NativeEndian.Uint64(body[8:]))), true
}
