package fabric

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"

	"wasabideal/internal/wire/gue"
)

// Fabric sends each packet to a random balancer, in GUE.
type Fabric struct {
	mu        sync.Mutex
	balancers []netip.AddrPort
	conn      *net.UDPConn
	random    *rand.Rand
}

// New returns a fabric without balancers.
func New(seed uint64) (*Fabric, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("open fabric socket: %w", err)
	}
	return &Fabric{conn: c, random: rand.New(rand.NewPCG(seed, seed))}, nil
}

// Close closes the socket of the fabric.
func (f *Fabric) Close() { _ = f.conn.Close() }

// Add adds a balancer to the targets.
func (f *Fabric) Add(a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, a)
}

// Remove removes a balancer from the targets.
func (f *Fabric) Remove(a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.DeleteFunc(f.balancers, func(b netip.AddrPort) bool { return a == b })
}

// Send sends one packet to a random balancer. Without a balancer, the packet is dropped.
func (f *Fabric) Send(packet []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return
	}
	h := gue.New()
	to := f.balancers[f.random.IntN(len(f.balancers))]
	_, _ = f.conn.WriteToUDPAddrPort(append(h[:], packet...), to)
}
