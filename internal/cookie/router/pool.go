package router

import "wasabideal/internal/cookie/mechanism"

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
	// zoneSlots holds these slots by availability zone. changes rises with each change of them.
	zoneSlots map[string]int
	changes   uint64
}

// position is the location of an upstream in its pool, and the slots that it adds to those of the
// pool and of its zone.
type position struct {
	pool  *pool
	list  poolList
	index int
	slots int
	zone  string
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
	if t.position == (position{pool: p, list: to, index: t.position.index, slots: slots, zone: t.Zone}) {
		return
	}
	t.removeFromPool()
	if to == excluded {
		return
	}
	t.position = position{pool: p, list: to, index: len(p.lists[to]), slots: slots, zone: t.Zone}
	p.lists[to] = append(p.lists[to], t)
	p.addSlots(t.Zone, slots)
}

// addSlots adds to the slots of a zone and of the pool.
func (p *pool) addSlots(zone string, slots int) {
	if slots != 0 {
		p.slots += slots
		p.zoneSlots[zone] += slots
		p.changes++
	}
}

// removeFromPool removes an upstream from its list by swapping it with the last entry.
func (t *target) removeFromPool() {
	current := t.position
	if current.list == excluded {
		return
	}
	list := current.pool.lists[current.list]
	last := len(list) - 1
	list[current.index] = list[last]
	list[current.index].position.index = current.index
	list[last] = nil
	current.pool.lists[current.list] = list[:last]
	current.pool.addSlots(current.zone, -current.slots)
	t.position = position{}
}

// updatePool moves an upstream to the list of its current state.
func (r *Router) updatePool(t *target) { r.pool(t.Service).set(t, r.poolListOf(t)) }

func (r *Router) pool(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{zoneSlots: map[string]int{}}
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
