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
)

const (
	callTimeout = 6 * time.Second
	retryPause  = 200 * time.Millisecond
)

type empty struct{}

// Client asks any of several control voters.
type Client struct {
	addresses []string
	token     string
}

// New returns a client of the voters at these addresses.
func New(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token}
}

// NoLeaderError says that no voter could take a change in time.
type NoLeaderError struct{ Last error }

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("no voter took the change in time, it may have been accepted all the same: send it again with the same change key; last answer: %v", e.Last)
}

// Unwrap returns the last voter's error.
func (e *NoLeaderError) Unwrap() error { return e.Last }

// Change sends a change until a voter answers it; the change key makes that safe.
func (c *Client) Change(ctx context.Context, change ledger.Change) (ledger.Answer, error) {
	var last error
	for ctx.Err() == nil {
		for _, address := range c.addresses {
			a, err := call[ledger.Change, ledger.Answer](ctx, address, c.token, voter.ChangeMethod, change)
			if err == nil {
				return a, a.Err()
			}
			if final(err) {
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

// final says whether asking another voter is of no use.
func final(err error) bool {
	var remote *rpc.RemoteError
	if !errors.As(err, &remote) {
		return false
	}
	return remote.Kind == "rpc.DeniedError" || remote.Kind == "voter.MissingKeyError"
}

// Current returns the configuration that the leader knows to be the newest.
func (c *Client) Current(ctx context.Context) (voter.Shown, error) {
	var shown voter.Shown
	var last error
	for _, address := range c.addresses {
		s, err := call[empty, voter.Shown](ctx, address, c.token, voter.CurrentMethod, empty{})
		if err != nil {
			last = err
			continue
		}
		if s.Current {
			return s, nil
		}
		if s.Configuration.Revision >= shown.Configuration.Revision {
			shown = s
		}
	}
	if shown.Configuration.Revision > 0 {
		return shown, nil
	}
	return shown, last
}

// Evacuations returns the newest orders for availability zones that any voter knows.
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

// Audit returns the longest trail that a voter has.
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

// Voter returns one voter's report.
func (c *Client) Voter(ctx context.Context, address string) (voter.Report, error) {
	return call[empty, voter.Report](ctx, address, c.token, voter.StatusMethod, empty{})
}

// RemoveVoter takes a voter out of the list for good.
func (c *Client) RemoveVoter(ctx context.Context, name string) error {
	return c.tellLeader(ctx, voter.RemoveMethod, name)
}

// Forget says that a balancer's last life is over, and its request keys with it.
func (c *Client) Forget(ctx context.Context, name string) error {
	return c.tellLeader(ctx, voter.ForgetMethod, name)
}

func (c *Client) tellLeader(ctx context.Context, method, name string) error {
	var last error
	for _, address := range c.addresses {
		if _, last = call[string, empty](ctx, address, c.token, method, name); last == nil {
			return nil
		}
	}
	return last
}

// Balancer returns one balancer's status.
func (c *Client) Balancer(ctx context.Context, address string) (reducer.Status, error) {
	return call[empty, reducer.Status](ctx, address, c.token, balancer.StatusMethod, empty{})
}

// Drain begins a balancer's planned stop.
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
