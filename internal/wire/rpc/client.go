package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc/drpcconn"
)

// RemoteError is a failure that the server returned; Kind is the type name of its error.
type RemoteError struct{ Kind, Text string }

func (e *RemoteError) Error() string { return e.Text }

// LostError reports a call without a response; the server may have executed it.
type LostError struct {
	Address string
	Cause   error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause) }

// Unwrap returns the underlying error.
func (e *LostError) Unwrap() error { return e.Cause }

// DialTimeout is the default limit for opening a connection. A VM without power does not respond,
// and the kernel retransmits the SYN only after a second. If a voter is down for a third of a
// second during a restart, a client that dials it without this limit connects only with the
// retransmitted SYN. Connections between zones open within a few ms.
const DialTimeout = 100 * time.Millisecond

// Client calls one address, one call at a time.
//
// A call without a response (LostError) also closes the connection, so that the next call redials: a
// connection can stop responding while new connections work.
type Client struct {
	address, token string
	dialTimeout    time.Duration
	// traffic counts the bytes of the connections; it may be nil.
	traffic *Traffic
	mu      sync.Mutex
	conn    *drpcconn.Conn
}

// NewClient returns a client that connects on its first call.
func NewClient(address, token string) *Client {
	return &Client{address: address, token: token, dialTimeout: DialTimeout}
}

// CountTraffic counts the bytes of later connections in t, which may be nil, and returns the client.
func (c *Client) CountTraffic(t *Traffic) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.traffic = t
	return c
}

// SetDialTimeout sets the limit for opening later connections.
func (c *Client) SetDialTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialTimeout = d
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnect()
}

func (c *Client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Connect opens the connection for later calls if it is not open.
func (c *Client) Connect(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.connect(ctx); err != nil {
		return &LostError{Address: c.address, Cause: err}
	}
	return nil
}

func (c *Client) connect(ctx context.Context) error {
	if c.conn != nil {
		select {
		case <-c.conn.Closed():
			c.conn = nil
		default:
			return nil
		}
	}
	d := net.Dialer{Timeout: c.dialTimeout}
	n, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	c.conn = drpcconn.New(c.traffic.Conn(n))
	return nil
}

// Call calls the named method; the context must have a deadline, as no other timeout applies.
func Call[In, Out any](ctx context.Context, c *Client, name string, in In) (Out, error) {
	var out Out
	body, err := cbor.Marshal(in)
	if err != nil {
		return out, fmt.Errorf("encode %s: %w", name, err)
	}
	r, err := c.invoke(ctx, name, newRequest(c.token, body))
	if err != nil {
		return out, err
	}
	if r.Error != "" {
		return out, &RemoteError{Kind: r.Kind, Text: r.Error}
	}
	if body, err = r.body(); err != nil {
		return out, fmt.Errorf("decode answer of %s: %w", name, err)
	}
	if err := cbor.Unmarshal(body, &out); err != nil {
		return out, fmt.Errorf("decode answer of %s: %w", name, err)
	}
	return out, nil
}

func (c *Client) invoke(ctx context.Context, name string, in *request) (response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var r response
	if err := c.connect(ctx); err != nil {
		return r, &LostError{Address: c.address, Cause: err}
	}
	if err := c.conn.Invoke(ctx, name, encoding{}, in, &r); err != nil {
		c.disconnect()
		return r, &LostError{Address: c.address, Cause: err}
	}
	return r, nil
}
