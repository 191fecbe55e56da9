package run

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/model/configuration"
)

// publish sends the next configuration to the voters in turn until one accepts it. The result is
// whether one did.
func (r *Run) publish() bool {
	r.mu.Lock()
	r.published++
	c := configuration.Configuration{Revision: r.published}
	for _, s := range services {
		c.Services = append(c.Services, configuration.Service{Name: s, Protocol: configuration.TCP, HealthPath: "/health"})
	}
	for n := range r.routes() {
		s := services[n%len(services)]
		x := configuration.Route{
			Name: fmt.Sprint("route-", n), Address: route(n), Service: s, Class: configuration.Unrepeatable,
			Timeout: time.Duration(1000+r.published) * time.Millisecond,
		}
		if r.settings.SharedLoad {
			x.Objective, x.Priority = objective, n/len(services)
		}
		c.Routes = append(c.Routes, x)
		r.permittedServices[x.Address] = map[string]bool{s: true}
	}
	r.mu.Unlock()
	for try := range r.voterAPIs {
		api := r.voterAPIs[(int(c.Revision)+try)%len(r.voterAPIs)]
		if r.settings.Platform.Publish(context.Background(), api, c) == nil {
			r.mu.Lock()
			r.acknowledged = max(r.acknowledged, c.Revision)
			r.mu.Unlock()
			return true
		}
	}
	return false
}

// operate publishes and reads configurations until the run has ended.
func (r *Run) operate() {
	for n := 0; !r.hasEnded(); n++ {
		if n%3 == 0 {
			r.publish()
		}
		for _, api := range r.voterAPIs {
			r.checkRead(api)
		}
		time.Sleep(readinessInterval)
	}
}

// checkRead verifies that a voter does not return a revision older than one acknowledged before the
// read. The result is whether the voter answered.
func (r *Run) checkRead(api string) bool {
	r.mu.Lock()
	minRevision := r.acknowledged
	r.mu.Unlock()
	revision, err := r.settings.Platform.Read(context.Background(), api)
	if err != nil {
		return false
	}
	if revision < minRevision {
		r.reportViolation(InvariantRevert, fmt.Sprintf("%s read %d where %d was acknowledged", api, revision, minRevision))
	}
	return true
}

func (r *Run) watchReadiness() {
	failures := map[string]int{}
	for !r.hasEnded() {
		var ready []string
		for _, b := range r.balancers {
			if r.settings.Platform.Ready(context.Background(), fmt.Sprintf("%s:%d", b, ReadyPort)) {
				failures[b] = 0
			} else {
				failures[b]++
			}
			if failures[b] < maxFailures {
				ready = append(ready, b)
			}
		}
		r.mu.Lock()
		r.readyBalancers = ready
		r.mu.Unlock()
		time.Sleep(readinessInterval)
	}
}

// rotation returns the balancers to which the fabric sends: the ready balancers, or all balancers
// if fewer than half are ready. With shared load, callers of a zone use the ready ones of their zone
// if there are any, so that zones differ in load.
func (r *Run) rotation(zone string) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := r.readyBalancers
	if 2*len(selected) < len(r.balancers) {
		selected = r.balancers
	}
	if r.settings.SharedLoad {
		near := lo.Filter(r.balancers, func(b string, n int) bool { return r.zone(n) == zone && slices.Contains(selected, b) })
		if len(near) > 0 {
			selected = near
		}
	}
	addresses := make([]netip.AddrPort, 0, len(selected))
	for _, b := range selected {
		addresses = append(addresses, netip.AddrPortFrom(netip.MustParseAddr(b), FabricPort))
	}
	return addresses
}
