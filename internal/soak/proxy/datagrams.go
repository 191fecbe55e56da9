package proxy

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

// forwardDatagrams forwards UDP datagrams to the target under the same faults as connections. Each
// client has its own socket to the target, so that answers return to it from the proxy's address.
func (p *Proxy) forwardDatagrams() {
	defer p.running.Done()
	b := make([]byte, bufferSize)
	for {
		n, client, err := p.datagrams.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if c := p.session(client); c != nil {
			p.passDatagram(b[:n], false, func(data []byte) { _, _ = c.Write(data) })
		}
	}
}

// session returns the client's socket to the target, or nil if none can be opened.
func (p *Proxy) session(client netip.AddrPort) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.sessions[client]; c != nil {
		return c
	}
	c, err := net.Dial("udp4", p.target)
	if err != nil || p.closed {
		return nil
	}
	p.sessions[client], p.open[c] = c, true
	p.running.Add(1)
	go p.returnDatagrams(client, c)
	return c
}

// returnDatagrams forwards the target's datagrams to a client until its socket is closed. A reset
// closes the socket, and answers in transit are lost.
func (p *Proxy) returnDatagrams(client netip.AddrPort, c net.Conn) {
	defer p.running.Done()
	b := make([]byte, bufferSize)
	for {
		n, err := c.Read(b)
		if errors.Is(err, net.ErrClosed) {
			break
		}
		// Other errors mean that a former datagram found no process at the target.
		if err == nil {
			p.passDatagram(b[:n], true, func(data []byte) { _, _ = p.datagrams.WriteToUDPAddrPort(data, client) })
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	if p.sessions[client] == c {
		delete(p.sessions, client)
	}
}

// passDatagram sends, delays or drops a datagram. Datagrams are sent in order, unless the end of a
// delay lets later ones overtake.
func (p *Proxy) passDatagram(data []byte, fromTarget bool, send func([]byte)) {
	switch f := p.currentFault(); {
	case f == Silence, f == Refuse, f == OneWay && fromTarget:
	case f == Delay:
		data = slices.Clone(data)
		time.AfterFunc(delay, func() { send(data) })
	default:
		send(data)
	}
}
