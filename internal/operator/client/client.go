package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/control/audit"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/control/voter"
	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/wire/rpc"
	"wasabideal/internal/zoneload/status"
)

const (
	callTimeout = 6 * time.Second
	retryPause  = 200 * time.Millisecond
)

type empty struct{}

// Client calls a list of control voters in turn.
type Client struct {
	addresses []string
	token     string
}

// New returns a client of the voters at the given addresses.
func New(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token}
}

// NoLeaderError reports that no voter confirmed a change in time. Whether the change was applied is
// unknown.
type NoLeaderError struct{ Last error }

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("no voter confirmed the change in time, but it may have been accepted: send it again with the same change key; last response: %v", e.Last)
}

// Unwrap returns the last error of a voter.
func (e *NoLeaderError) Unwrap() error { return e.Last }

// Change sends a change until a voter responds; the change key makes the retries idempotent.
func (c *Client) Change(ctx context.Context, change ledger.Change) (ledger.Answer, error) {
	var last error
	for ctx.Err() == nil {
		for _, address := range c.addresses {
			a, err := call[ledger.Change, ledger.Answer](ctx, address, c.token, voter.ChangeMethod, change)
			if err == nil {
				return a, a.Err()
			}
			if isFinal(err) {
				return a, err
			}
			last = err
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
	return ledger.Answer{}, &NoLeaderError{Last: last}
}

// isFinal reports whether other voters would return the same error.
func isFinal(err error) bool {
	var remote *rpc.RemoteError
	if !errors.As(err, &remote) {
		return false
	}
	return remote.Kind == "rpc.DeniedError" || remote.Kind == "voter.MissingKeyError"
}

// Current returns the first configuration that a voter confirms as the newest. If no voter confirms
// its configuration, Current returns the configuration with the highest revision.
func (c *Client) Current(ctx context.Context) (voter.ConfigurationStatus, error) {
	var newest voter.ConfigurationStatus
	var last error
	for _, address := range c.addresses {
		s, err := call[empty, voter.ConfigurationStatus](ctx, address, c.token, voter.CurrentMethod, empty{})
		if err != nil {
			last = err
			continue
		}
		if s.Current {
			return s, nil
		}
		if s.Configuration.Revision >= newest.Configuration.Revision {
			newest = s
		}
	}
	if newest.Configuration.Revision > 0 {
		return newest, nil
	}
	return newest, last
}

// Evacuations asks all voters and returns the evacuated availability zones at the highest revision.
func (c *Client) Evacuations(ctx context.Context) (evacuation.Evacuations, error) {
	var newest evacuation.Evacuations
	var last error
	answered := false
	for _, address := range c.addresses {
		e, err := call[empty, evacuation.Evacuations](ctx, address, c.token, voter.ZonesMethod, empty{})
		if err != nil {
			last = err
			continue
		}
		answered = true
		if e.Revision > newest.Revision {
			newest = e
		}
	}
	if answered {
		last = nil
	}
	return newest, last
}

// Audit asks each voter for the given number of last audit lines, and returns the longest response.
func (c *Client) Audit(ctx context.Context, last int) ([]audit.Line, error) {
	var lines []audit.Line
	var failed error
	for _, address := range c.addresses {
		l, err := call[int, []audit.Line](ctx, address, c.token, voter.AuditMethod, last)
		if err != nil {
			failed = err
			continue
		}
		if len(l) > len(lines) {
			lines = l
		}
	}
	if len(lines) > 0 {
		failed = nil
	}
	return lines, failed
}

// Voter returns the status of one voter.
func (c *Client) Voter(ctx context.Context, address string) (voter.Report, error) {
	return call[empty, voter.Report](ctx, address, c.token, voter.StatusMethod, empty{})
}

// RemoveVoter removes a voter from the voter list permanently.
func (c *Client) RemoveVoter(ctx context.Context, name string) error {
	return c.callFirst(ctx, voter.RemoveMethod, name)
}

// ForgetBalancer declares that the process of a balancer has ended and its request keys are lost.
func (c *Client) ForgetBalancer(ctx context.Context, name string) error {
	return c.callFirst(ctx, voter.ForgetMethod, name)
}

func (c *Client) callFirst(ctx context.Context, method, name string) error {
	var last error
	for _, address := range c.addresses {
		if _, last = call[string, empty](ctx, address, c.token, method, name); last == nil {
			return nil
		}
	}
	return last
}

// Balancer returns the status of one balancer.
func (c *Client) Balancer(ctx context.Context, address string) (reducer.Status, error) {
	return call[empty, reducer.Status](ctx, address, c.token, balancer.StatusMethod, empty{})
}

// Load returns the load of all zones as known at a balancer or voter.
func (c *Client) Load(ctx context.Context, address string) (status.Status, error) {
	return call[empty, status.Status](ctx, address, c.token, status.Method, empty{})
}

// Drain starts the planned stop of a balancer.
func (c *Client) Drain(ctx context.Context, address string) error {
	_, err := call[empty, empty](ctx, address, c.token, balancer.DrainMethod, empty{})
	return err
}

func call[In, Out any](ctx context.Context, address, token, method string, in In) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := rpc.NewClient(address, token)
	defer c.Close()
	return rpc.Call[In, Out](ctx, c, method, in)
}
