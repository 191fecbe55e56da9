package pool

import (
	"context"
	"sync"

	"wasabideal/internal/wire/rpc"
)

// maxIdle is the maximum number of idle connections to one address.
const maxIdle = 8

// Pool manages rpc clients, each of which serves one call at a time.
type Pool struct {
	token string
	// traffic counts the bytes of the connections; it may be nil.
	traffic *rpc.Traffic
	mu      sync.Mutex
	idle    map[string][]*rpc.Client
}

// New returns an empty pool whose clients send the token.
func New(token string) *Pool { return &Pool{token: token, idle: map[string][]*rpc.Client{}} }

// CountTraffic counts the bytes of later clients in t, which may be nil, and returns the pool. It must
// be called before the first Call.
func (p *Pool) CountTraffic(t *rpc.Traffic) *Pool {
	p.traffic = t
	return p
}

func (p *Pool) get(address string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	clients := p.idle[address]
	if len(clients) == 0 {
		return rpc.NewClient(address, p.token).CountTraffic(p.traffic)
	}
	c := clients[len(clients)-1]
	p.idle[address] = clients[:len(clients)-1]
	return c
}

func (p *Pool) put(address string, c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, clients := range p.idle {
		for _, c := range clients {
			c.Close()
		}
	}
	clear(p.idle)
}

// Call calls a method at an address.
func Call[In, Out any](ctx context.Context, p *Pool, address, method string, in In) (Out, error) {
	c := p.get(address)
	defer p.put(address, c)
	return rpc.Call[In, Out](ctx, c, method, in)
}
