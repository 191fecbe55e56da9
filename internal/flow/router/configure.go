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

// SetIsolated sets whether at least half of the members are unreachable. If so, packets of
// unknown flows are dropped, because a member on the other side of the partition probably stores
// the flow.
func (r *Router) SetIsolated(isolated bool) { r.isolated = isolated }

// JoinStage is the stage of a balancer that joins its group.
type JoinStage uint8

// The stages of joining. Callers retransmit openings that a joining balancer drops.
const (
	// Joined balancers open the flows of all slots that they own.
	Joined JoinStage = iota
	// Provisional balancers open only flows of slots that have another known replica.
	Provisional
	// Discovering balancers open no flow.
	Discovering
)

// SetJoinStage sets the stage of joining.
func (r *Router) SetJoinStage(j JoinStage) { r.joinStage = j }

// mayOpen reports whether flows of the slot may be opened here. A balancer that has not yet
// discovered the other members must not open flows. The other members do not know it and would
// not query it, so they might open the same flow again.
func (r *Router) mayOpen(slot int) bool {
	return r.joinStage == Joined || r.joinStage == Provisional && len(r.ownership.Replicas(slot)) > 1
}

// SetUnreachable sets the members that do not respond to this balancer but are not declared dead.
// If the owner of a flow is among them, the flow's packets go to another replica.
func (r *Router) SetUnreachable(u map[netip.AddrPort]bool) { r.unreachable = u }

// SetMembers updates the ranking if a member joined, left, restarted or is leaving.
func (r *Router) SetMembers(now time.Time, ms []ownership.Member) {
	if !slices.Equal(ms, r.ownership.Members()) {
		r.SetOwnership(now, ownership.New(ms, r.settings.Self))
	}
}

// SetConfiguration applies a revision of the configuration.
func (r *Router) SetConfiguration(c configuration.Configuration) {
	preset := c.Preset()
	r.spillPercent = preset.SpillPercent
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

// planAll updates all plans after a change of members or of the configuration.
func (r *Router) planAll() {
	for _, s := range r.byHash {
		r.plan(s)
	}
}

func (r *Router) plan(s *service) {
	s.plan = choice.NewPlan(s.pool, r.settings.Zone, r.ownership.ZoneShares(), r.spillPercent)
}

func protocolNumber(name string) uint8 {
	if name == configuration.UDP {
		return 17
	}
	return 6
}

// PoolMember is an upstream that accepts new flows; Share is its weight, 1 for a warm upstream.
type PoolMember struct {
	upstream.Identity
	Zone  string
	Share float64
}

// SetPool replaces the upstreams that accept new flows of a service.
func (r *Router) SetPool(serviceName string, pool []PoolMember) {
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

// SetAddressServices sets the service that each announced address currently belongs to.
func (r *Router) SetAddressServices(addressServices map[netip.AddrPort]string) {
	r.targets.setAddressServices(addressServices)
}

func targetOf(id upstream.Identity) target {
	return target{
		Incarnation: id.Incarnation, Service: ServiceHash(id.Service),
		Address: id.Address.Addr().As4(), Port: id.Address.Port(),
	}
}

// SetOwnership replaces the ranking of members and starts the repair of changed slots.
func (r *Router) SetOwnership(now time.Time, o *ownership.Ownership) {
	before := r.ownership
	nowSeconds := r.seconds(now)
	for slot := range ownership.Slots {
		if o.SameReplicas(before, slot) {
			continue
		}
		r.versions[slot]++
		r.changedAt[slot] = nowSeconds + 1
		if o.MustRepair(before, slot) || r.repair.isDirty(slot) && o.IsReplica(slot) {
			r.repair.markDirty(slot)
		}
	}
	for slot := range ownership.Slots {
		if r.repair.isDirty(slot) {
			// Unacknowledged batches are discarded with the old ranking, so their flows must be
			// collected again.
			r.versions[slot]++
		}
	}
	r.ownership = o
	r.repair.restart()
	r.recount()
	r.planAll()
}

// recount recomputes the load of each upstream.
func (r *Router) recount() {
	r.targets.clearLoads()
	for i := range r.table.Capacity() {
		if e := r.table.At(i); e != nil && r.countsLoad(e) {
			r.targets.add(e.Upstream, 1)
		}
	}
}

// countsLoad reports whether this balancer counts the flow as load. Only the owner of a flow
// does.
func (r *Router) countsLoad(e *table.Entry) bool {
	return r.ownership.IsOwner(ownership.Slot(e.Key.Hash()))
}

// unsettled reports whether the replicas of the slot changed less than Settle ago.
func (r *Router) unsettled(slot int, nowSeconds uint32) bool {
	changedAt := r.changedAt[slot]
	return changedAt != 0 && nowSeconds-(changedAt-1) < uint32(r.settings.Settle/time.Second)
}
