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

// LostPolicy says what becomes of a packet whose flow nobody holds.
type LostPolicy string

const (
	// LostCandidate sends it to the flow's candidate of the same service: it is
	// the right one or its kernel resets the caller, who then knows.
	LostCandidate LostPolicy = "Candidate"
	// LostDrop drops it, and leaves the caller to its own timeouts.
	LostDrop LostPolicy = "Drop"
)

// Settings bound a router; times are in whole seconds.
type Settings struct {
	Self           string
	Zone           string
	Address        netip.AddrPort
	MaxFlows       int
	Settle         time.Duration
	OpeningTimeout time.Duration
	IdleTimeout    time.Duration
	ClosingTimeout time.Duration
	// RepairBytes is the trickle's budget for one tick.
	RepairBytes int
	Lost        LostPolicy
}

// Counters are the router's running totals.
type Counters struct {
	Hits, Relays, Openings, Asked, Lost, Resets, Dropped    uint64
	UnknownService, NoUpstream, TableFull, Foreign          uint64
	Malformed, CopiedByPacket, CopiedByTrickle, RepairBytes uint64
	Misdelivered, Conflicts                                 uint64
}

// serviceKey is the address by which packets find their service.
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

// Router holds the flows of one balancer.
type Router struct {
	settings  Settings
	base      time.Time
	table     *table.Table
	ownership *ownership.Ownership
	parser    ipv4.Parser
	services  map[serviceKey]*service
	byHash    map[uint32]*service
	spill     int
	targets   targets
	repair    repair
	versions  [ownership.Slots]uint16
	changed   [ownership.Slots]uint32
	sweep     int
	isolated  bool
	joining   Joining

	unreachable map[netip.AddrPort]bool
	head        []byte
	gue         gue.Header
	Counters    Counters
}

// New returns a router that owns nothing until it is told of members.
func New(s Settings, base time.Time) *Router {
	r := &Router{
		settings:  s,
		base:      base,
		table:     table.New(s.MaxFlows),
		ownership: ownership.New([]ownership.Member{{Name: s.Self, Zone: s.Zone, Address: s.Address}}, s.Self),
		targets:   newTargets(),
		gue:       gue.New(),
		head:      make([]byte, 0, 128),
		services:  map[serviceKey]*service{},
		byHash:    map[uint32]*service{},
	}
	r.repair.restart()
	// A balancer that just began knows no members yet: unknown flows are held
	// by others, and a guess would reset them.
	for slot := range r.changed {
		r.changed[slot] = 1
	}
	return r
}

// ServiceHash is the pointer-free name of a service on the wire and in tables.
func ServiceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Flows returns the number of flows held.
func (r *Router) Flows() int { return r.table.Len() }

// Openings returns the number of flows held that are not yet established.
func (r *Router) Openings() int { return r.table.Openings() }

func (r *Router) seconds(now time.Time) uint32 { return uint32(now.Sub(r.base) / time.Second) }

// Packet routes a packet that the fabric handed to this balancer.
func (r *Router) Packet(now time.Time, packet []byte, out *effect.List) {
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

// mayServe says whether a hit may bypass the first rank.
//
// An opening that meets a holder which is no copy any more could revive a
// flow that the first rank has opened anew at another upstream.
//
// An opening that was never confirmed here may have been repeated and taken by
// the far side of a partition: after a change of members the others are asked.
func (r *Router) mayServe(e *table.Entry, slot int, now time.Time) bool {
	if r.doubtful(e, slot, now) {
		return false
	}
	if r.ownership.IsReplica(slot) {
		return r.ownership.IsOwner(slot) || !r.parser.Opening
	}
	return !r.parser.Opening && e.State != table.Closing
}

func (r *Router) doubtful(e *table.Entry, slot int, now time.Time) bool {
	return e.State == table.Opening && !r.parser.Opening && r.unsettled(slot, r.seconds(now)) &&
		e.Version != r.versions[slot]
}

func (r *Router) service() *service {
	k := &r.parser.Key
	return r.services[serviceKey{k.Destination, k.DestinationPort, k.Protocol}]
}

// miss sends a packet to the first rank, or looks for the flow if that is here.
func (r *Router) miss(now time.Time, hash uint64, slot int, packet []byte, hops uint8, out *effect.List) {
	to, ok := r.firstReachable(slot)
	if ok && hops < hopLimit {
		h := relay.Header{Hops: hops + 1, Origin: r.settings.Address}
		r.Counters.Relays++
		r.send(&h, to, packet, out)
		return
	}
	r.missAsFirst(now, hash, slot, packet, out)
}

// firstReachable returns whom to relay to, or false when that is this balancer.
func (r *Router) firstReachable(slot int) (netip.AddrPort, bool) {
	for _, i := range r.ownership.Copies(slot) {
		if r.ownership.IsSelf(i) {
			return netip.AddrPort{}, false
		}
		if a := r.peerOf(i); !r.unreachable[a] {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// hopLimit ends the dance of balancers that disagree on who is first.
const hopLimit = 3

func (r *Router) missAsFirst(now time.Time, hash uint64, slot int, packet []byte, out *effect.List) {
	known := (r.parser.Opening || r.parser.Datagram) && !r.unsettled(slot, r.seconds(now))
	if known {
		r.open(now, hash, slot, packet, out)
		return
	}
	h := relay.Header{Flags: relay.Asking, Origin: r.settings.Address}
	for _, i := range r.ownership.LookupOrder(slot) {
		if !r.ownership.IsSelf(i) {
			h.AddHop(r.ownership.Member(i).Address)
		}
	}
	first, ok := h.NextHop()
	if !ok {
		r.lost(now, hash, slot, packet, out)
		return
	}
	r.Counters.Asked++
	r.send(&h, first, packet, out)
}

// lost decides on a packet whose flow none of the members asked holds.
func (r *Router) lost(now time.Time, hash uint64, slot int, packet []byte, out *effect.List) {
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

// open begins a new flow at an upstream, if its service takes flows here.
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
	upstreamIndex, ok := r.choose(s, hash)
	if !ok {
		return
	}
	at := r.seconds(now)
	e, err := r.table.Insert(table.Entry{
		Key: r.parser.Key, State: table.Opening, Upstream: upstreamIndex,
		LastSeen: at, LastCopied: at, Version: r.versions[slot],
	}, hash, at)
	if err != nil {
		r.Counters.TableFull++
		return
	}
	r.Counters.Openings++
	r.count(e, 1)
	r.serve(now, e, slot, packet, nil, out)
}

// choose picks the upstream of a new flow. It checks that the upstream is of
// the flow's service: a pool with another's would cross customers.
func (r *Router) choose(s *service, hash uint64) (uint32, bool) {
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

func (r *Router) count(e *table.Entry, by int32) {
	if r.counts(e) {
		r.targets.add(e.Upstream, by)
	}
}
