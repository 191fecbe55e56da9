package run

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"wasabideal/internal/model/configuration"
)

// publish sends the next configuration to some voter.
func (r *Run) publish() bool {
	r.mu.Lock()
	r.published++
	c := configuration.Configuration{Revision: r.published}
	for _, s := range services {
		c.Services = append(c.Services, configuration.Service{Name: s, Protocol: configuration.TCP, HealthPath: "/health"})
	}
	for n, s := range services {
		x := configuration.Route{
			Name: fmt.Sprint("route-", n), Address: route(n), Service: s, Class: configuration.Unrepeatable,
			Timeout: time.Duration(1000+r.published) * time.Millisecond,
		}
		c.Routes = append(c.Routes, x)
		r.sent[x.Address] = map[string]bool{s: true}
	}
	r.mu.Unlock()
	for try := range r.apis {
		api := r.apis[(int(c.Revision)+try)%len(r.apis)]
		if r.settings.World.Publish(context.Background(), api, c) == nil {
			r.mu.Lock()
			r.acknowledged = max(r.acknowledged, c.Revision)
			r.mu.Unlock()
			return true
		}
	}
	return false
}

// operate publishes and reads configurations all the while.
func (r *Run) operate() {
	for n := 0; !r.over(); n++ {
		if n%3 == 0 {
			r.publish()
		}
		for _, api := range r.apis {
			r.checkRead(api)
		}
		time.Sleep(readyEvery)
	}
}

// checkRead holds that no voter reads back less than was acknowledged before.
func (r *Run) checkRead(api string) bool {
	r.mu.Lock()
	least := r.acknowledged
	r.mu.Unlock()
	got, err := r.settings.World.Read(context.Background(), api)
	if err != nil {
		return false
	}
	if got < least {
		r.broken(PromiseRevert, fmt.Sprintf("%s read %d where %d was acknowledged", api, got, least))
	}
	return true
}

func (r *Run) watchReadiness() {
	misses := map[string]int{}
	for !r.over() {
		var ready []string
		for _, b := range r.balancers {
			if r.settings.World.Ready(context.Background(), fmt.Sprintf("%s:%d", b, ReadyPort)) {
				misses[b] = 0
			} else {
				misses[b]++
			}
			if misses[b] < missesMost {
				ready = append(ready, b)
			}
		}
		r.mu.Lock()
		r.ready = ready
		r.mu.Unlock()
		time.Sleep(readyEvery)
	}
}

// rotation returns the balancers that the fabric uses: all where most are out.
func (r *Run) rotation() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.ready
	if 2*len(list) < len(r.balancers) {
		list = r.balancers
	}
	out := make([]netip.AddrPort, 0, len(list))
	for _, b := range list {
		out = append(out, netip.AddrPortFrom(netip.MustParseAddr(b), FabricPort))
	}
	return out
}
