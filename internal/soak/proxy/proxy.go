package proxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is how a proxy treats connections.
type Fault string

// The faults.
const (
	None Fault = "None"
	// Delay holds each piece of data back for a while.
	Delay Fault = "Delay"
	// Silence swallows data both ways, and leaves connections open.
	Silence Fault = "Silence"
	// OneWay swallows what the far end answers.
	OneWay Fault = "OneWay"
	// Refuse resets open connections and new ones.
	Refuse Fault = "Refuse"
)

// delay is how long Delay holds data: some round trips between regions.
const delay = 60 * time.Millisecond

// bufferSize is the most that is copied at once.
const bufferSize = 32 << 10

// Proxy passes TCP connections on to one address.
type Proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	fault    Fault
	open     map[net.Conn]bool
	running  sync.WaitGroup
}

// Listen starts a proxy at an address.
func Listen(address, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &Proxy{listener: l, to: to, fault: None, open: map[net.Conn]bool{}}
	p.running.Add(1)
	go p.accept()
	return p, nil
}

// Set changes how connections are treated; those that are open, too.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Refuse {
		p.resetAll()
	}
}

// Reset resets the open connections once.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset in place of an orderly end
		}
		_ = c.Close()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
	p.running.Wait()
}

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	defer p.running.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Add(1)
		go p.serve(c)
	}
}

func (p *Proxy) serve(near net.Conn) {
	defer p.running.Done()
	if p.current() == Refuse {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.open[near], p.open[far] = true, true
	p.mu.Unlock()
	p.running.Add(1)
	go p.copy(far, near, false)
	p.copy(near, far, true)
	p.mu.Lock()
	delete(p.open, near)
	delete(p.open, far)
	p.mu.Unlock()
	_, _ = near.Close(), far.Close()
}

// copy passes data on until an end closes; answers come from the far end.
func (p *Proxy) copy(to io.Writer, from net.Conn, answers bool) {
	if !answers {
		defer p.running.Done()
	}
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if err != nil {
			if c, ok := to.(net.Conn); ok {
				_ = c.Close()
			}
			return
		}
		switch f := p.current(); {
		case f == Silence, f == OneWay && answers:
			continue
		case f == Delay:
			time.Sleep(delay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
