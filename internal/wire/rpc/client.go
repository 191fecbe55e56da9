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

// RemoteError is the other process's answer that a call failed there.
type RemoteError struct{ Kind, Text string }

func (e *RemoteError) Error() string { return e.Text }

// LostError says that a call got no answer; it may have been carried out.
type LostError struct {
	Address string
	Cause   error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// DialTimeout is how long a connection may take to open. A VM without power does
// not answer, and the kernel asks again after a second only: a caller that waited
// for that missed a voter that was back after a third of a second. Connections
// between zones open within some ms.
const DialTimeout = 100 * time.Millisecond

// Client calls one address, one call at a time.
//
// A call that its context ends also ends the connection: a link that went
// silent for good, while new ones work, is thus given up and dialled anew.
type Client struct {
	address, token string
	dialTimeout    time.Duration
	mu             sync.Mutex
	conn           *drpcconn.Conn
}

// NewClient returns a client that dials with its first call.
func NewClient(address, token string) *Client {
	return &Client{address: address, token: token, dialTimeout: DialTimeout}
}

// SetDialTimeout changes how long a connection may take to open, from the next one on.
func (c *Client) SetDialTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialTimeout = d
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Connect opens the connection, if it is not open, for a call later on.
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
	c.conn = drpcconn.New(n)
	return nil
}

// Call makes one call; the context must have a deadline.
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
		c.drop()
		return r, &LostError{Address: c.address, Cause: err}
	}
	return r, nil
}
