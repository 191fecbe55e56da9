package proxy

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is the network fault that a proxy injects.
type Fault string

const (
	None Fault = "None"
	// Delay delays each chunk of data.
	Delay Fault = "Delay"
	// Silence discards data in both directions and leaves connections open.
	Silence Fault = "Silence"
	// OneWay discards the data that the target sends.
	OneWay Fault = "OneWay"
	// Refuse resets open connections and closes new connections at once.
	Refuse Fault = "Refuse"
)

// delay is the delay of each chunk if the fault is Delay: a few round trips between regions.
const delay = 60 * time.Millisecond

// bufferSize is the maximum size of a chunk in bytes.
const bufferSize = 32 << 10

// Proxy forwards TCP connections and UDP datagrams to one target address.
type Proxy struct {
	listener  net.Listener
	datagrams *net.UDPConn
	target    string
	mu        sync.Mutex
	fault     Fault
	open      map[net.Conn]bool
	// sessions are the sockets to the target by UDP client.
	sessions map[netip.AddrPort]net.Conn
	closed   bool
	running  sync.WaitGroup
}

// Listen starts a proxy that listens at an address and forwards to the target.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	// Listen accepts port 0: both protocols use the port that TCP received.
	at, err := net.ResolveUDPAddr("udp4", l.Addr().String())
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("resolve address of proxy: %w", err)
	}
	d, err := net.ListenUDP("udp4", at)
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("listen for datagrams of proxy: %w", err)
	}
	p := &Proxy{
		listener: l, datagrams: d, target: target, fault: None, open: map[net.Conn]bool{}, sessions: map[netip.AddrPort]net.Conn{},
	}
	p.running.Add(2)
	go p.accept()
	go p.forwardDatagrams()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the injected fault for open and new connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Refuse {
		p.resetAll()
	}
}

// Reset resets all connections that are open now.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // closes with RST instead of FIN
		}
		_ = c.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_, _ = p.listener.Close(), p.datagrams.Close()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	p.mu.Unlock()
	p.running.Wait()
}

func (p *Proxy) currentFault() Fault {
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

func (p *Proxy) serve(client net.Conn) {
	defer p.running.Done()
	if p.currentFault() == Refuse {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	p.mu.Unlock()
	p.running.Add(1)
	go p.copy(server, client, false)
	p.copy(client, server, true)
	p.mu.Lock()
	delete(p.open, client)
	delete(p.open, server)
	p.mu.Unlock()
	_, _ = client.Close(), server.Close()
}

// copy forwards data until either end closes. fromTarget means that the target sends the data.
func (p *Proxy) copy(to io.Writer, from net.Conn, fromTarget bool) {
	if !fromTarget {
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
		switch f := p.currentFault(); {
		case f == Silence, f == OneWay && fromTarget:
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
