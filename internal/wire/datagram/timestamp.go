package datagram

import (
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// stampSize is room for the one control message with a datagram's time of arrival.
const stampSize = 64

// stampArrivals asks the kernel for the time at which each datagram arrived. Where it refuses,
// no datagram has one.
func stampArrivals(c *net.UDPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach the socket: %w", err)
	}
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
}

// stamp reads the time of arrival from a datagram's control messages, if it is there: seconds and
// nanoseconds since 1970.
func stamp(control []byte) (time.Time, bool) {
	if len(control) < unix.SizeofCmsghdr {
		return time.Time{}, false
	}
	head, body, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || head.Level != unix.SOL_SOCKET || head.Type != unix.SCM_TIMESTAMPNS || len(body) < 16 {
		return time.Time{}, false
	}
	return time.Unix(int64(binary.NativeEndian.Uint64(body)), int64(binary.NativeEndian.Uint64(body[8:]))), true
}
