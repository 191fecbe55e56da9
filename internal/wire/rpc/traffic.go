package rpc

import (
	"net"
	"sync/atomic"
)

const (
	// segmentSize is the usual payload of a TCP segment; segmentOverhead is the size of its headers:
	// TCP with timestamps, IPv4 and Ethernet.
	segmentSize     = 1448
	segmentOverhead = 32 + 20 + 38
)

// Traffic counts the bytes of connections, with the headers of their segments. Acknowledgements
// without data are not counted. The zero value has counted none. It is safe for concurrent use; a nil
// Traffic counts nothing.
type Traffic struct{ in, out atomic.Int64 }

// Bytes returns the received and the sent bytes.
func (t *Traffic) Bytes() (in, out int64) { return t.in.Load(), t.out.Load() }

// AddReceived and AddSent add bytes that do not pass a counted connection.
func (t *Traffic) AddReceived(bytes int) {
	if t != nil {
		t.in.Add(int64(bytes))
	}
}

// AddSent adds sent bytes; see AddReceived.
func (t *Traffic) AddSent(bytes int) {
	if t != nil {
		t.out.Add(int64(bytes))
	}
}

// Conn returns a connection whose bytes are counted.
func (t *Traffic) Conn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return countedConn{Conn: c, traffic: t}
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return countedListener{Listener: l, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(c), nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.AddReceived(onLink(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.AddSent(onLink(n))
	return n, err
}

// onLink returns the size of a payload on the link.
func onLink(payload int) int {
	return payload + (payload+segmentSize-1)/segmentSize*segmentOverhead
}
