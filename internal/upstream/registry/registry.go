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

// Settings configures a registry.
type Settings struct {
	// Zone is the availability zone of this balancer.
	Zone string
	// Lease is how long an announcement is valid without a newer one.
	Lease time.Duration
	// Tombstone is how long a withdrawn upstream is kept.
	Tombstone time.Duration
	// Quarantine is how long an address gets no new flow after it has changed service, so that
	// every balancer has received the change before the first packet.
	Quarantine time.Duration
}

// RefusedError reports why an announcement was rejected.
type RefusedError struct {
	Address netip.AddrPort
	Service string
	Reason  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement of %s for service %q refused: %s", e.Address, e.Service, e.Reason)
}

// The values of RefusedError.Reason.
const (
	ReasonService = "no such service in the configuration"
	ReasonToken   = "token does not match the service's TokenSha256"
	ReasonStale   = "a newer announcement of the address is known; raise Incarnation"
	ReasonAddress = "address must be IPv4:port, and slots at least 1"
)

// entry is the latest announcement of one address.
type entry struct {
	upstream.Upstream
	renewedAt time.Time
	firstSeen time.Time
	// usableAt is when the quarantine of the address ends.
	usableAt time.Time
	// gossiped counts the transmissions of the full announcement, and renewalGossiped those of
	// its latest renewal.
	gossiped, renewalGossiped int
}

// Registry holds the announcements known to one balancer. It is not safe for concurrent use.
type Registry struct {
	settings      Settings
	configuration configuration.Configuration
	entries       map[netip.AddrPort]*entry
	version       uint64
	// rotation is the index of the last announcement that Payload repeated.
	rotation int
	// urgent reports whether there is a change that TakeUrgent has not returned yet.
	urgent bool
	// reachableZones are the zones with a reachable balancer.
	reachableZones map[string]bool
	// evacuations is the evacuation state of the availability zones.
	evacuations evacuation.Evacuations
	// knownZones are the zones that have ever had a reachable balancer.
	knownZones map[string]bool
}

// New returns an empty registry.
func New(s Settings) *Registry {
	return &Registry{settings: s, entries: map[netip.AddrPort]*entry{}, knownZones: map[string]bool{}}
}

// SetEvacuations sets the evacuated availability zones, unless the revision is older than the
// current one. Upstreams of an evacuated zone get no new flows or requests and keep their open
// flows.
func (r *Registry) SetEvacuations(e evacuation.Evacuations) {
	if e.Revision > r.evacuations.Revision {
		r.evacuations = e
		r.version++
	}
}

// Evacuations returns the evacuations in effect.
func (r *Registry) Evacuations() evacuation.Evacuations { return r.evacuations }

// SetReachableZones sets the zones with a reachable balancer, and returns whether they changed.
// Once all balancers of a zone are unreachable, the zone gets no new flows, even while its leases
// are valid. Otherwise the first packet of a flow would be lost, and its retransmission might
// open the flow a second time on the other side of a partition.
func (r *Registry) SetReachableZones(zones map[string]bool) bool {
	if maps.Equal(zones, r.reachableZones) {
		return false
	}
	r.reachableZones = zones
	for z := range zones {
		r.knownZones[z] = true
	}
	r.version++
	return true
}

// reachable reports whether a zone has a reachable balancer. Zones that never had a reachable
// balancer count as reachable.
func (r *Registry) reachable(zone string) bool { return r.reachableZones[zone] || !r.knownZones[zone] }

const (
	// changeTransmissions is how often each balancer gossips a change.
	changeTransmissions = 8
	// renewalTransmissions is how often each balancer gossips a renewal. It is lower, since the
	// next renewal makes up for a lost one and renewals are most of the traffic.
	renewalTransmissions = 4
)

// TakeUrgent returns true once after an upstream was added or changed. The balancer then pushes
// the change instead of waiting for its next probe.
func (r *Registry) TakeUrgent() bool {
	u := r.urgent
	r.urgent = false
	return u
}

// Version increases whenever the results of Pool or ServicesByAddress may have changed.
func (r *Registry) Version() uint64 { return r.version }

// SetConfiguration sets the configuration, which defines the services that upstreams may join.
func (r *Registry) SetConfiguration(c configuration.Configuration) {
	r.configuration = c
	r.version++
}

// Announce checks and stores an announcement that an upstream sent; tokenSha256 is the digest of
// the service token that came with it. It returns a RefusedError if it rejects the announcement.
func (r *Registry) Announce(now time.Time, u upstream.Upstream, tokenSha256 string) error {
	reject := func(reason string) error {
		return &RefusedError{Address: u.Address, Service: u.Service, Reason: reason}
	}
	s, ok := r.configuration.Service(u.Service)
	if !ok {
		return reject(ReasonService)
	}
	if subtle.ConstantTimeCompare([]byte(tokenSha256), []byte(s.TokenSha256)) != 1 {
		return reject(ReasonToken)
	}
	if !u.Address.Addr().Is4() || u.Address.Port() == 0 || u.Slots == 0 {
		return reject(ReasonAddress)
	}
	if e := r.entries[u.Address]; e != nil && !u.Newer(e.Upstream) && u != e.Upstream {
		return reject(ReasonStale)
	}
	r.merge(now, u)
	return nil
}

// merge stores an announcement if it is newer than the one known for its address.
func (r *Registry) merge(now time.Time, u upstream.Upstream) {
	old := r.entries[u.Address]
	if old != nil && !u.Newer(old.Upstream) {
		return
	}
	e := &entry{Upstream: u, renewedAt: now, firstSeen: now, usableAt: now}
	switch {
	case old == nil:
	case old.Service != u.Service:
		e.usableAt = now.Add(r.settings.Quarantine)
	case old.Incarnation == u.Incarnation:
		e.firstSeen, e.usableAt = old.firstSeen, old.usableAt
		if renews(old.Upstream, u) {
			r.renew(now, old, u.Sequence)
			return
		}
	}
	r.entries[u.Address] = e
	r.version++
	r.urgent = true
}

// renews reports whether u differs from old only in its sequence.
func renews(old, u upstream.Upstream) bool {
	old.Sequence = u.Sequence
	return old == u
}

// renew renews a lease. It changes a pool only if the lease had expired.
func (r *Registry) renew(now time.Time, e *entry, sequence uint64) {
	if now.Sub(e.renewedAt) > r.settings.Lease {
		r.version++
	}
	e.Sequence = sequence
	e.renewedAt = now
	e.renewalGossiped = 0
}

// Tick raises Version for recently expired leases, and for quarantines and slow starts in progress.
// It also deletes old tombstones. It must be called periodically.
func (r *Registry) Tick(now time.Time) {
	for a, e := range r.entries {
		age := now.Sub(e.renewedAt)
		switch {
		case e.State == upstream.Withdrawn && age > r.settings.Tombstone:
			delete(r.entries, a)
			r.version++
		case age > r.settings.Lease && age-r.settings.Lease <= r.settings.Lease:
			// The lease expired less than another lease ago, so the pool may have shrunk.
			r.version++
		case e.usableAt.After(now) || r.warming(now, e):
			r.version++
		}
	}
}

// warming reports whether the share of an entry may have changed: it is in its slow start, or was
// until a second ago.
func (r *Registry) warming(now time.Time, e *entry) bool {
	return now.Sub(e.firstSeen) <= time.Duration(r.configuration.Preset().ColdStartSeconds+1)*time.Second
}

// Pool returns the upstreams that get new flows of a service.
func (r *Registry) Pool(now time.Time, service string) []router.PoolMember {
	es := r.serving(now, service)
	pool := make([]router.PoolMember, 0, len(es))
	for _, e := range es {
		pool = append(pool, router.PoolMember{Identity: e.Identity, Zone: e.Zone, Share: r.share(now, e)})
	}
	return pool
}

// Serving returns the announcements of the upstreams in Pool.
func (r *Registry) Serving(now time.Time, service string) []upstream.Upstream {
	es := r.serving(now, service)
	us := make([]upstream.Upstream, 0, len(es))
	for _, e := range es {
		us = append(us, e.Upstream)
	}
	return us
}

// Share returns the load that the upstream at an address should get relative to a warm one,
// between 0 and 1. The share rises during the slow start.
func (r *Registry) Share(now time.Time, a netip.AddrPort) float64 {
	if e := r.entries[a]; e != nil {
		return r.share(now, e)
	}
	return 1
}

// All returns all known announcements including tombstones, sorted by address.
func (r *Registry) All() []upstream.Upstream {
	us := make([]upstream.Upstream, 0, len(r.entries))
	for _, e := range r.sorted() {
		us = append(us, e.Upstream)
	}
	return us
}

// serving returns the entries of a service that get new flows. They need a valid lease, with one
// exception: if this balancer's zone has several entries and all their leases have expired, the
// fault is probably local, and these entries are kept. An empty pool would reject callers that
// can still be served.
func (r *Registry) serving(now time.Time, service string) []*entry {
	var live, expired []*entry
	localLive := false
	for _, e := range r.sorted() {
		if e.Service != service || e.State != upstream.Ready || e.usableAt.After(now) || !r.reachable(e.Zone) || r.evacuations.Evacuated(e.Zone) {
			continue
		}
		if now.Sub(e.renewedAt) <= r.settings.Lease {
			live = append(live, e)
			localLive = localLive || e.Zone == r.settings.Zone
			continue
		}
		if e.Zone == r.settings.Zone {
			expired = append(expired, e)
		}
	}
	if len(expired) > 1 && !localLive {
		return append(live, expired...)
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

// coldShare is the relative load at the beginning of the slow start.
const coldShare = 0.1

func (r *Registry) share(now time.Time, e *entry) float64 {
	duration := time.Duration(r.configuration.Preset().ColdStartSeconds) * time.Second
	age := now.Sub(e.firstSeen)
	if duration <= 0 || age >= duration {
		return 1
	}
	return coldShare + (1-coldShare)*float64(age)/float64(duration)
}

// ServicesByAddress returns the service of each announced address.
func (r *Registry) ServicesByAddress() map[netip.AddrPort]string {
	h := make(map[netip.AddrPort]string, len(r.entries))
	for a, e := range r.entries {
		h[a] = e.Service
	}
	return h
}
