package registry

import (
	"crypto/subtle"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"wasabideal/internal/flow/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
)

// Settings bound the registry.
type Settings struct {
	Zone string
	// Lease is how long an announcement holds without a newer one.
	Lease time.Duration
	// Tombstone is how long a withdrawn upstream is remembered.
	Tombstone time.Duration
	// Quarantine is how long an address that changes service takes no flow, so
	// that every balancer has heard of the change before the first packet.
	Quarantine time.Duration
}

// RefusedError says why an announcement was not taken.
type RefusedError struct {
	Address netip.AddrPort
	Service string
	Reason  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement of %s for service %q refused: %s", e.Address, e.Service, e.Reason)
}

// The reasons for which an announcement is refused.
const (
	ReasonService = "no such service in the configuration"
	ReasonToken   = "token does not match the service's TokenSha256"
	ReasonStale   = "a newer announcement of the address is known; raise Incarnation"
	ReasonAddress = "address must be IPv4:port, and slots at least 1"
)

type entry struct {
	upstream.Upstream
	heard     time.Time
	firstSeen time.Time
	usable    time.Time
	// told counts how often the whole announcement was gossiped, renewalTold
	// how often its latest renewal was.
	told, renewalTold int
}

// Registry is the announcements known to one balancer; one goroutine owns it.
type Registry struct {
	settings      Settings
	configuration configuration.Configuration
	entries       map[netip.AddrPort]*entry
	version       uint64
	rotation      int
	urgent        bool
	// reach are the zones with a balancer in sight; others are out of reach.
	reach map[string]bool
	// evacuations are the orders for availability zones.
	evacuations evacuation.Evacuations
	// balanced are the zones that had a balancer in sight ever.
	balanced map[string]bool
}

// New returns an empty registry.
func New(s Settings) *Registry {
	return &Registry{settings: s, entries: map[netip.AddrPort]*entry{}, balanced: map[string]bool{}}
}

// SetEvacuations takes orders for availability zones; older ones are ignored. Upstreams of an
// evacuated zone take no new flow and no request, and keep their flows.
func (r *Registry) SetEvacuations(e evacuation.Evacuations) {
	if e.Revision > r.evacuations.Revision {
		r.evacuations = e
		r.version++
	}
}

// Evacuations returns the orders for availability zones in force.
func (r *Registry) Evacuations() evacuation.Evacuations { return r.evacuations }

// SetReach names the zones with a balancer in sight, and reports whether that
// is news. A zone whose balancers all went out of sight takes no new flow,
// without waiting for its leases: an opening sent there is lost, and its
// repetition may open the flow a second time on the far side.
func (r *Registry) SetReach(zones map[string]bool) bool {
	if maps.Equal(zones, r.reach) {
		return false
	}
	r.reach = zones
	for z := range zones {
		r.balanced[z] = true
	}
	r.version++
	return true
}

func (r *Registry) reachable(zone string) bool { return r.reach[zone] || !r.balanced[zone] }

const (
	// changeTellings is how often each balancer tells a change on.
	changeTellings = 8
	// renewalTellings is how often it tells a renewal on: the next renewal
	// makes up for one that did not get through, and renewals are the bulk.
	renewalTellings = 4
)

// TakeUrgent says, once, whether an upstream came, went or changed state: its
// balancers then push the news instead of waiting for their next probes.
func (r *Registry) TakeUrgent() bool {
	u := r.urgent
	r.urgent = false
	return u
}

// Version changes whenever Pool or Holders may have.
func (r *Registry) Version() uint64 { return r.version }

// SetConfiguration tells which services upstreams may join.
func (r *Registry) SetConfiguration(c configuration.Configuration) {
	r.configuration = c
	r.version++
}

// Announce takes an upstream's own announcement with the digest of the token
// that it showed, or returns a RefusedError.
func (r *Registry) Announce(now time.Time, u upstream.Upstream, tokenSha256 string) error {
	refuse := func(reason string) error {
		return &RefusedError{Address: u.Address, Service: u.Service, Reason: reason}
	}
	s, ok := r.configuration.Service(u.Service)
	if !ok {
		return refuse(ReasonService)
	}
	if subtle.ConstantTimeCompare([]byte(tokenSha256), []byte(s.TokenSha256)) != 1 {
		return refuse(ReasonToken)
	}
	if !u.Address.Addr().Is4() || u.Address.Port() == 0 || u.Slots == 0 {
		return refuse(ReasonAddress)
	}
	if e := r.entries[u.Address]; e != nil && !u.Newer(e.Upstream) && u != e.Upstream {
		return refuse(ReasonStale)
	}
	r.merge(now, u)
	return nil
}

// merge takes an announcement that is newer than what is known.
func (r *Registry) merge(now time.Time, u upstream.Upstream) {
	old := r.entries[u.Address]
	if old != nil && !u.Newer(old.Upstream) {
		return
	}
	e := &entry{Upstream: u, heard: now, firstSeen: now, usable: now}
	switch {
	case old == nil:
	case old.Service != u.Service:
		e.usable = now.Add(r.settings.Quarantine)
	case old.Incarnation == u.Incarnation:
		e.firstSeen, e.usable = old.firstSeen, old.usable
		if renews(old.Upstream, u) {
			r.renew(now, old, u.Sequence)
			return
		}
	}
	r.entries[u.Address] = e
	r.version++
	r.urgent = true
}

// renews says whether u says nothing but that old still holds.
func renews(old, u upstream.Upstream) bool {
	old.Sequence = u.Sequence
	return old == u
}

// renew prolongs a lease; it changes a pool only where the lease had run out.
func (r *Registry) renew(now time.Time, e *entry, sequence uint64) {
	if now.Sub(e.heard) > r.settings.Lease {
		r.version++
	}
	e.Sequence = sequence
	e.heard = now
	e.renewalTold = 0
}

// Tick lets leases run out; call it at a steady pace.
func (r *Registry) Tick(now time.Time) {
	for a, e := range r.entries {
		age := now.Sub(e.heard)
		switch {
		case e.State == upstream.Withdrawn && age > r.settings.Tombstone:
			delete(r.entries, a)
			r.version++
		case age > r.settings.Lease && age-r.settings.Lease <= r.settings.Lease:
			// The pool shrinks at some moment in this span.
			r.version++
		case e.usable.After(now) || r.warming(now, e):
			r.version++
		}
	}
}

func (r *Registry) warming(now time.Time, e *entry) bool {
	return now.Sub(e.firstSeen) <= time.Duration(r.configuration.Preset().ColdStartSeconds+1)*time.Second
}

// Pool returns the upstreams that take new flows of a service.
func (r *Registry) Pool(now time.Time, service string) []router.Pooled {
	es := r.serving(now, service)
	pool := make([]router.Pooled, 0, len(es))
	for _, e := range es {
		pool = append(pool, router.Pooled{Identity: e.Identity, Zone: e.Zone, Share: r.share(now, e)})
	}
	return pool
}

// Serving returns the announcements behind Pool.
func (r *Registry) Serving(now time.Time, service string) []upstream.Upstream {
	es := r.serving(now, service)
	us := make([]upstream.Upstream, 0, len(es))
	for _, e := range es {
		us = append(us, e.Upstream)
	}
	return us
}

// Share returns the part of a warm upstream's load that the address should
// get, between 0 and 1, while it starts cold.
func (r *Registry) Share(now time.Time, a netip.AddrPort) float64 {
	if e := r.entries[a]; e != nil {
		return r.share(now, e)
	}
	return 1
}

// All returns every announcement known, tombstones included, by address.
func (r *Registry) All() []upstream.Upstream {
	us := make([]upstream.Upstream, 0, len(r.entries))
	for _, e := range r.sorted() {
		us = append(us, e.Upstream)
	}
	return us
}

// serving returns the entries whose lease holds; where a lease ran out for
// every upstream of our own zone at once, the loss is likelier on our side, and
// they stay: an empty pool would turn away the callers that we can still serve.
func (r *Registry) serving(now time.Time, service string) []*entry {
	var live, stale []*entry
	nearLive := false
	for _, e := range r.sorted() {
		if e.Service != service || e.State != upstream.Ready || e.usable.After(now) || !r.reachable(e.Zone) || r.evacuations.Evacuated(e.Zone) {
			continue
		}
		if now.Sub(e.heard) <= r.settings.Lease {
			live = append(live, e)
			nearLive = nearLive || e.Zone == r.settings.Zone
			continue
		}
		if e.Zone == r.settings.Zone {
			stale = append(stale, e)
		}
	}
	if len(stale) > 1 && !nearLive {
		return append(live, stale...)
	}
	return live
}

func (r *Registry) sorted() []*entry {
	es := make([]*entry, 0, len(r.entries))
	for _, a := range slices.SortedFunc(maps.Keys(r.entries), netip.AddrPort.Compare) {
		es = append(es, r.entries[a])
	}
	return es
}

// coldShare is the share of a warm upstream's load at the start.
const coldShare = 0.1

func (r *Registry) share(now time.Time, e *entry) float64 {
	ramp := time.Duration(r.configuration.Preset().ColdStartSeconds) * time.Second
	age := now.Sub(e.firstSeen)
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return coldShare + (1-coldShare)*float64(age)/float64(ramp)
}

// Holders tells which service each announced address belongs to.
func (r *Registry) Holders() map[netip.AddrPort]string {
	h := make(map[netip.AddrPort]string, len(r.entries))
	for a, e := range r.entries {
		h[a] = e.Service
	}
	return h
}
