package router

import (
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/placement/zoneshare"
)

// poolList is the list of a pool in which an upstream is stored.
type poolList int

const (
	// excluded is the zero value: the upstream gets no new flows and is stored in no list.
	excluded poolList = iota
	// localZone upstreams are in the balancer's own zone, remoteZone upstreams in another
	// one. If mechanism.OwnZone is disabled, localZone has the upstreams of all zones.
	localZone
	remoteZone
	// evacuated upstreams are ready, but in an evacuated zone: they get no new flows.
	evacuated
	poolListCount
)

// pool holds the lists of the ready upstreams of a service. Each upstream stores its
// position, so that an update takes constant time regardless of the pool's size.
type pool struct {
	lists [poolListCount][]*target
	// slots is the number of requests that the upstreams in localZone and remoteZone process
	// concurrently.
	slots int
	// changes rises with each change of the slots of a zone.
	changes uint64
	// zones holds the upstreams in localZone and remoteZone by availability zone.
	zones []*zoneUpstreams
	// reduced holds the upstreams in zones that may have fewer usable slots than slots: those that
	// have changed or were suspected since the last check, and those that are cold, suspected or not
	// live. Only these are checked to count the usable slots.
	reduced []*target
	// shares are the shares of new flows that go to other zones.
	shares zoneshare.Shares
}

// zoneUpstreams holds the upstreams of one service and zone that may get new flows.
type zoneUpstreams struct {
	zone      *zone
	name      string
	upstreams []*target
	// slots is the number of requests that the upstreams process concurrently. usable is the part
	// of it at upstreams that were healthy at the last check, less while they are cold.
	slots  int
	usable float64
	// measured is when the zone's load was measured that the shares for the zone are based on.
	measured time.Time
}

// position is the location of an upstream in its pool, and the slots that it adds to the pool's.
type position struct {
	pool  *pool
	list  poolList
	index int
	slots int
	// zone is nil if the upstream is in neither localZone nor remoteZone. inReduced is set while
	// it is in the pool's reduced list.
	zone         *zoneUpstreams
	zoneIndex    int
	inReduced    bool
	reducedIndex int
}

// local and remote return the upstreams that may get new flows.
func (p *pool) local() []*target  { return p.lists[localZone] }
func (p *pool) remote() []*target { return p.lists[remoteZone] }

// set moves an upstream to another list.
func (p *pool) set(t *target, to poolList) {
	slots := 0
	if to == localZone || to == remoteZone {
		slots = max(int(t.Slots), 1)
	}
	if current := t.position; current.pool == p && current.list == to && current.slots == slots && (current.zone == nil || current.zone.zone == t.zone) {
		t.noteReduced()
		return
	}
	t.removeFromPool()
	if to == excluded {
		return
	}
	t.position = position{pool: p, list: to, index: len(p.lists[to]), slots: slots}
	p.lists[to] = append(p.lists[to], t)
	p.slots += slots
	if slots > 0 {
		z := p.zoneOf(t)
		t.position.zone, t.position.zoneIndex = z, len(z.upstreams)
		z.upstreams = append(z.upstreams, t)
		z.slots += slots
		p.changes++
		t.noteReduced()
	}
}

// zoneOf returns the upstreams of an upstream's zone.
func (p *pool) zoneOf(t *target) *zoneUpstreams {
	for _, z := range p.zones {
		if z.zone == t.zone {
			return z
		}
	}
	z := &zoneUpstreams{zone: t.zone, name: t.Zone}
	p.zones = append(p.zones, z)
	return z
}

// noteReduced has the usable slots of an upstream checked. The upstream may have become cold,
// suspected or not live.
func (t *target) noteReduced() {
	if t.position.zone == nil || t.position.inReduced {
		return
	}
	p := t.position.pool
	t.position.inReduced, t.position.reducedIndex = true, len(p.reduced)
	p.reduced = append(p.reduced, t)
}

// removeFromReduced ends the checks of an upstream's usable slots.
func (t *target) removeFromReduced() {
	if !t.position.inReduced {
		return
	}
	p, index := t.position.pool, t.position.reducedIndex
	p.reduced = removeSwapping(p.reduced, index, func(moved *target) { moved.position.reducedIndex = index })
	t.position.inReduced = false
}

// removeFromPool removes an upstream from all lists of its pool.
func (t *target) removeFromPool() {
	current := t.position
	if current.list == excluded {
		return
	}
	t.removeFromReduced()
	list := &current.pool.lists[current.list]
	*list = removeSwapping(*list, current.index, func(moved *target) { moved.position.index = current.index })
	current.pool.slots -= current.slots
	if z := current.zone; z != nil {
		z.upstreams = removeSwapping(z.upstreams, current.zoneIndex, func(moved *target) { moved.position.zoneIndex = current.zoneIndex })
		z.slots -= current.slots
		current.pool.changes++
	}
	t.position = position{}
}

// removeSwapping removes an entry of a list by swapping it with the last one, whose new position is
// set by the function.
func removeSwapping(list []*target, index int, setPosition func(*target)) []*target {
	last := len(list) - 1
	list[index] = list[last]
	setPosition(list[index])
	list[last] = nil
	return list[:last]
}

// updatePool moves an upstream to the list of its current state.
func (r *Router) updatePool(t *target) { r.pool(t.Service).set(t, r.poolListOf(t)) }

func (r *Router) pool(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{}
		r.pools[service] = p
	}
	return p
}

// poolListOf returns the list for an upstream's current state.
func (r *Router) poolListOf(t *target) poolList {
	switch {
	case !t.acceptsFlows():
		return excluded
	case r.evacuations.Evacuated(t.Zone):
		return evacuated
	case t.Zone == r.settings.Zone || r.settings.Off.Has(mechanism.OwnZone):
		return localZone
	default:
		return remoteZone
	}
}
