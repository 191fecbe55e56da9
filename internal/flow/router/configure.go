package router

import (
	"net/netip"
	"slices"
	"time"

	"wasabideal/internal/flow/choice"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
)

// SetIsolated says that half the members are out of sight: unknown flows are
// then dropped, since their holder is likely alive on the far side.
func (r *Router) SetIsolated(isolated bool) { r.isolated = isolated }

// Joining is how much a balancer that began lately knows of its group.
type Joining uint8

// The stages of joining; callers repeat openings that are refused meanwhile.
const (
	// Joined balancers open flows as first rank.
	Joined Joining = iota
	// Young ones do, but only where another copy is known.
	Young
	// Newborn ones open none.
	Newborn
)

// SetJoining tells the stage of joining.
func (r *Router) SetJoining(j Joining) { r.joining = j }

// mayOpen is false while this balancer may take itself for the only one, and
// would open flows that no other asks it for.
func (r *Router) mayOpen(slot int) bool {
	return r.joining == Joined || r.joining == Young && len(r.ownership.Copies(slot)) > 1
}

// SetUnreachable names the members that this balancer cannot talk to, though
// others can: a copy then stands in for a first rank among them.
func (r *Router) SetUnreachable(u map[netip.AddrPort]bool) { r.unreachable = u }

// SetMembers ranks the members anew if any came, went, restarted or is leaving.
func (r *Router) SetMembers(now time.Time, ms []ownership.Member) {
	if !slices.Equal(ms, r.ownership.Members()) {
		r.SetOwnership(now, ownership.New(ms, r.settings.Self))
	}
}

// SetConfiguration puts one whole revision in force.
func (r *Router) SetConfiguration(c configuration.Configuration) {
	preset := c.Preset()
	r.spill = preset.SpillPercent
	closed := map[string]bool{}
	for _, n := range preset.Closed {
		closed[n] = true
	}
	services := map[serviceKey]*service{}
	byHash := map[uint32]*service{}
	for _, s := range c.Services {
		v := &service{hash: ServiceHash(s.Name), closed: closed[s.Name]}
		if old := r.byHash[v.hash]; old != nil {
			v.pool = old.pool
		}
		byHash[v.hash] = v
		for _, a := range s.Addresses {
			services[serviceKey{a.Addr().As4(), a.Port(), protocolNumber(s.Protocol)}] = v
		}
	}
	r.services, r.byHash = services, byHash
	r.planAll()
}

// planAll plans anew after a change of pools, of members or of the preset.
func (r *Router) planAll() {
	for _, s := range r.byHash {
		r.plan(s)
	}
}

func (r *Router) plan(s *service) {
	s.plan = choice.NewPlan(s.pool, r.settings.Zone, r.ownership.ZoneShares(), r.spill)
}

func protocolNumber(name string) uint8 {
	if name == configuration.UDP {
		return 17
	}
	return 6
}

// Pooled is an upstream that takes new flows, with its share of a warm one's.
type Pooled struct {
	upstream.Identity
	Zone  string
	Share float64
}

// SetPool replaces the upstreams that take new flows of a service.
func (r *Router) SetPool(serviceName string, pool []Pooled) {
	s := r.byHash[ServiceHash(serviceName)]
	if s == nil {
		return
	}
	candidates := make([]choice.Candidate, 0, len(pool))
	for _, p := range pool {
		t := targetOf(p.Identity)
		candidates = append(candidates, choice.Candidate{
			Target: r.targets.intern(t), Seed: seedOf(t), Zone: p.Zone, Share: p.Share,
		})
	}
	s.pool = candidates
	r.plan(s)
}

// SetHolders tells which service each announced address belongs to now.
func (r *Router) SetHolders(holders map[netip.AddrPort]string) { r.targets.setHolders(holders) }

func targetOf(id upstream.Identity) target {
	return target{
		Incarnation: id.Incarnation, Service: ServiceHash(id.Service),
		Address: id.Address.Addr().As4(), Port: id.Address.Port(),
	}
}

// SetOwnership takes a new ranking of members and starts the repair it calls for.
func (r *Router) SetOwnership(now time.Time, o *ownership.Ownership) {
	before := r.ownership
	at := r.seconds(now)
	for slot := range ownership.Slots {
		if o.SameReplicas(before, slot) {
			continue
		}
		r.versions[slot]++
		r.changed[slot] = at + 1
		if o.MustRepair(before, slot) || r.repair.wants(slot) && o.IsReplica(slot) {
			r.repair.want(slot)
		}
	}
	for slot := range ownership.Slots {
		if r.repair.wants(slot) {
			// Batches under way are dropped with the old ranking: their flows
			// must be collected again.
			r.versions[slot]++
		}
	}
	r.ownership = o
	r.repair.restart()
	r.recount()
	r.planAll()
}

// recount assigns each held flow's load to its upstream anew.
func (r *Router) recount() {
	r.targets.clearLoads()
	for i := range r.table.Capacity() {
		if e := r.table.At(i); e != nil && r.counts(e) {
			r.targets.add(e.Upstream, 1)
		}
	}
}

// counts says whether the entry is load that this balancer reports.
func (r *Router) counts(e *table.Entry) bool {
	return r.ownership.IsOwner(ownership.Slot(e.Key.Hash()))
}

func (r *Router) unsettled(slot int, at uint32) bool {
	c := r.changed[slot]
	return c != 0 && at-(c-1) < uint32(r.settings.Settle/time.Second)
}
