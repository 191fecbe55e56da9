package router

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/choice"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/table"
	"wasabideal/internal/wire/gue"
	"wasabideal/internal/wire/ipv4"
	"wasabideal/internal/wire/relay"
)

// LostPolicy selects what happens to a packet whose flow no member stores.
type LostPolicy string

const (
	// LostCandidate sends the packet to the upstream that a new flow would get. If that upstream
	// does not have the flow, its kernel resets the connection, and the caller gets an error.
	LostCandidate LostPolicy = "Candidate"
	// LostDrop drops the packet, and the caller times out.
	LostDrop LostPolicy = "Drop"
)

// Settings configure a router. Durations are in whole seconds.
type Settings struct {
	Self     string
	Zone     string
	Address  netip.AddrPort
	MaxFlows int
	// Settle is a time after a change of a slot's replicas. During this time, some flows may be
	// stored only at former replicas. Even openings are therefore first looked up at other
	// members, and packets of lost flows are dropped.
	Settle         time.Duration
	OpeningTimeout time.Duration
	IdleTimeout    time.Duration
	ClosingTimeout time.Duration
	// RepairBytes is the byte budget of repair per tick.
	RepairBytes int
	Lost        LostPolicy
}

// Counters are the router's totals since its start. Asked counts lookups at other members, and
// Foreign packets for an upstream whose address has been reassigned. Misdelivered counts
// selections of an upstream of another service. CopiedByTrickle counts flows copied by background
// repair.
type Counters struct {
	Hits, Relays, Openings, Asked, Lost, Resets, Dropped    uint64
	UnknownService, NoUpstream, TableFull, Foreign          uint64
	Malformed, CopiedByPacket, CopiedByTrickle, RepairBytes uint64
	Misdelivered, Conflicts                                 uint64
}

// serviceKey is the destination address, port and protocol that identify a service.
type serviceKey struct {
	address  [4]byte
	port     uint16
	protocol uint8
}

type service struct {
	hash   uint32
	closed bool
	pool   []choice.Candidate
	plan   choice.Plan
}

// Router stores and routes the flows of one balancer.
type Router struct {
	settings Settings
	// base is the time from which times in seconds are counted.
	base         time.Time
	table        *table.Table
	ownership    *ownership.Ownership
	parser       ipv4.Parser
	services     map[serviceKey]*service
	byHash       map[uint32]*service
	spillPercent int
	targets      targets
	repair       repair
	// versions hold a number per slot, incremented with each change of its replicas.
	versions [ownership.Slots]uint16
	// changedAt is the time of the slot's last change in seconds plus 1, or 0.
	changedAt      [ownership.Slots]uint32
	expiryPosition int
	isolated       bool
	joinStage      JoinStage

	unreachable map[netip.AddrPort]bool
	header      []byte
	gue         gue.Header
	Counters    Counters
}

// New returns a router that knows no other member until SetMembers.
func New(s Settings, base time.Time) *Router {
	r := &Router{
		settings:  s,
		base:      base,
		table:     table.New(s.MaxFlows),
		ownership: ownership.New([]ownership.Member{{Name: s.Self, Zone: s.Zone, Address: s.Address}}, s.Self),
		targets:   newTargets(),
		gue:       gue.New(),
		header:    make([]byte, 0, 128),
		services:  map[serviceKey]*service{},
		byHash:    map[uint32]*service{},
	}
	r.repair.restart()
	// A balancer that has just started knows no other member yet. Other members may store flows
	// that this balancer does not store. If it sent packets of these flows to an upstream of its
	// own choice, the connections would be reset.
	for slot := range r.changedAt {
		r.changedAt[slot] = 1
	}
	return r
}

// ServiceHash returns the fixed-size identifier of a service on the wire and in tables.
func ServiceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Flows returns the number of stored flows.
func (r *Router) Flows() int { return r.table.Len() }

// Openings returns the number of stored flows that are openings.
func (r *Router) Openings() int { return r.table.Openings() }

func (r *Router) seconds(now time.Time) uint32 { return uint32(now.Sub(r.base) / time.Second) }

// RoutePacket routes a packet that this balancer received from the fabric.
func (r *Router) RoutePacket(now time.Time, packet []byte, out *effect.List) {
	if err := r.parser.Parse(packet); err != nil {
		r.Counters.Malformed++
		return
	}
	hash := r.parser.Key.Hash()
	slot := ownership.Slot(hash)
	e := r.table.Find(r.parser.Key, hash)
	if e != nil && r.mayServe(e, slot, now) {
		r.Counters.Hits++
		r.serve(now, e, slot, packet, nil, out)
		return
	}
	if r.service() == nil {
		r.Counters.UnknownService++
		return
	}
	r.miss(now, hash, slot, packet, 0, out)
}

// mayServe reports whether a packet of a stored flow may be routed here instead of by the owner.
// Openings are left to the owner: the entry of a former replica could revive a flow that the
// owner has since opened at another upstream. An unconfirmed opening may have been retransmitted
// to the other side of a partition. After a membership change, the other members are therefore
// queried for it.
func (r *Router) mayServe(e *table.Entry, slot int, now time.Time) bool {
	if r.unconfirmed(e, slot, now) {
		return false
	}
	if r.ownership.IsReplica(slot) {
		return r.ownership.IsOwner(slot) || !r.parser.Opening
	}
	return !r.parser.Opening && e.State != table.Closing
}

// unconfirmed reports whether the entry is an opening that was not confirmed here before the last
// change of its slot's replicas. It returns false once that change is Settle ago.
func (r *Router) unconfirmed(e *table.Entry, slot int, now time.Time) bool {
	return e.State == table.Opening && !r.parser.Opening && r.unsettled(slot, r.seconds(now)) &&
		e.Version != r.versions[slot]
}

func (r *Router) service() *service {
	k := &r.parser.Key
	return r.services[serviceKey{k.Destination, k.DestinationPort, k.Protocol}]
}

// miss relays a packet to the first reachable replica, usually the owner. If this balancer is that
// replica, or if the packet has been relayed maxHops times, missAsOwner handles the packet here.
func (r *Router) miss(now time.Time, hash uint64, slot int, packet []byte, hops uint8, out *effect.List) {
	to, ok := r.firstReachable(slot)
	if ok && hops < maxHops {
		h := relay.Header{Hops: hops + 1, Origin: r.settings.Address}
		r.Counters.Relays++
		r.send(&h, to, packet, out)
		return
	}
	r.missAsOwner(now, hash, slot, packet, out)
}

// firstReachable returns the address of the first reachable replica. The result is false if that
// replica is this balancer, or if no replica is reachable.
func (r *Router) firstReachable(slot int) (netip.AddrPort, bool) {
	for _, i := range r.ownership.Replicas(slot) {
		if r.ownership.IsSelf(i) {
			return netip.AddrPort{}, false
		}
		if a := r.memberAddress(i); !r.unreachable[a] {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// maxHops ends relay loops between balancers that disagree on the owner.
const maxHops = 3

// missAsOwner opens a new flow, or queries the other members for a flow that may exist.
func (r *Router) missAsOwner(now time.Time, hash uint64, slot int, packet []byte, out *effect.List) {
	isNew := (r.parser.Opening || r.parser.Datagram) && !r.unsettled(slot, r.seconds(now))
	if isNew {
		r.open(now, hash, slot, packet, out)
		return
	}
	h := relay.Header{Flags: relay.FlagLookup, Origin: r.settings.Address}
	for _, i := range r.ownership.LookupOrder(slot) {
		if !r.ownership.IsSelf(i) {
			h.AddHop(r.ownership.Member(i).Address)
		}
	}
	first, ok := h.NextHop()
	if !ok {
		r.routeLost(now, hash, slot, packet, out)
		return
	}
	r.Counters.Asked++
	r.send(&h, first, packet, out)
}

// routeLost routes a packet of a flow that no queried member stores.
func (r *Router) routeLost(now time.Time, hash uint64, slot int, packet []byte, out *effect.List) {
	if r.parser.Opening || r.parser.Datagram {
		r.open(now, hash, slot, packet, out)
		return
	}
	r.Counters.Lost++
	s := r.service()
	if r.isolated || s == nil || r.settings.Lost == LostDrop || r.unsettled(slot, r.seconds(now)) {
		r.Counters.Dropped++
		return
	}
	if i := s.plan.Pick(hash, r.targets.loads); i >= 0 {
		r.Counters.Resets++
		r.toUpstream(s.pool[i].Target, packet, out)
	}
}

// open selects an upstream, stores the flow and routes its first packet.
func (r *Router) open(now time.Time, hash uint64, slot int, packet []byte, out *effect.List) {
	s := r.service()
	if s == nil {
		r.Counters.UnknownService++
		return
	}
	if !r.mayOpen(slot) {
		r.Counters.Dropped++
		return
	}
	upstreamIndex, ok := r.selectUpstream(s, hash)
	if !ok {
		return
	}
	nowSeconds := r.seconds(now)
	e, err := r.table.Insert(table.Entry{
		Key: r.parser.Key, State: table.Opening, Upstream: upstreamIndex,
		LastSeen: nowSeconds, LastCopied: nowSeconds, Version: r.versions[slot],
	}, hash, nowSeconds)
	if err != nil {
		r.Counters.TableFull++
		return
	}
	r.Counters.Openings++
	r.addLoad(e, 1)
	r.serve(now, e, slot, packet, nil, out)
}

// selectUpstream returns the upstream of a new flow. It checks that the upstream belongs to the
// flow's service, because traffic must not cross workspaces if a pool is wrong.
func (r *Router) selectUpstream(s *service, hash uint64) (uint32, bool) {
	i := -1
	if !s.closed {
		i = s.plan.Pick(hash, r.targets.loads)
	}
	if i < 0 {
		r.Counters.NoUpstream++
		return 0, false
	}
	chosen := s.pool[i].Target
	if r.targets.at(chosen).Service != s.hash {
		r.Counters.Misdelivered++
		return 0, false
	}
	return chosen, true
}

// addLoad adds to the load of the flow's upstream if this balancer counts the flow.
func (r *Router) addLoad(e *table.Entry, by int32) {
	if r.countsLoad(e) {
		r.targets.add(e.Upstream, by)
	}
}
