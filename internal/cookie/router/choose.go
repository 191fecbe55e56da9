package router

import (
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/model/configuration"
)

const (
	// coldCapacityFactor scales the slots of an upstream that has just started: its
	// requests take more than one and a half times as long as those of a warm upstream.
	coldCapacityFactor = 0.5
	// idleFlowLoad is the load of an open flow without a request in flight: callers pause
	// for about a second between requests of some 25 ms.
	idleFlowLoad = 0.03
	// remotePenalty is added to the cost of upstreams in other zones. An idle upstream there
	// is preferred only to upstreams of the balancer's own zone with more than remotePenalty
	// requests per slot. The penalty reduces traffic between zones, and keeps the flows of a
	// partitioned zone on upstreams that the zone can reach.
	remotePenalty = 0.75
	// uploadRemotePenalty is remotePenalty for uploads. An upload counts as load while its body is
	// in transit, though it occupies a slot for a few ms only. The bytes of uploads are most
	// of the traffic between zones.
	uploadRemotePenalty = 4
)

// rank orders candidates: lower values are preferred regardless of cost.
type rank int

const (
	rankHealthy rank = iota
	// rankSuspected upstreams show one of two signs of failure: they are not live (their
	// announcements are overdue), or the voters or this balancer suspect them. rankUnhealthy
	// upstreams show both signs.
	rankSuspected
	rankUnhealthy
)

func (r *Router) rank(now time.Time, t *target) rank {
	switch suspected := t.suspectedLocally(now) || t.suspectedByVoters() || now.Before(t.zone.refusals.avoidUntil); {
	case t.Live && !suspected:
		return rankHealthy
	case t.Live || !suspected:
		return rankSuspected
	default:
		return rankUnhealthy
	}
}

func (r *Router) load(now time.Time, t *target) float64 {
	return (float64(t.openings+t.requests) + idleFlowLoad*float64(t.flows)) / r.slots(now, t)
}

// slots returns the number of requests that the upstream processes concurrently, reduced
// while it is cold.
func (r *Router) slots(now time.Time, t *target) float64 {
	s := max(float64(t.Slots), 1)
	if now.Before(t.ColdUntil) && !r.settings.Off.Has(mechanism.ColdShare) {
		return s * coldCapacityFactor
	}
	return s
}

// cost estimates the response time of a new flow's requests, relative to that of an idle
// upstream of the service.
func (r *Router) cost(now time.Time, t *target) float64 {
	slowness := t.response.Slowness()
	if r.settings.Off.Has(mechanism.Slowness) {
		slowness = 1
	}
	if t.reduced() {
		slowness *= t.weightFactor()
	}
	return (1 + r.load(now, t)) * slowness
}

// A pool has one list for the balancer's own zone and one for all other zones. If a list has more
// than fullScanMax upstreams, only sampleSize of them are compared for a new flow. The start index
// rotates so that equal upstreams are chosen evenly. With 3,000 upstreams, comparing all takes 78
// µs and comparing eight 1 µs; the busiest upstream then has 1.04 times the mean number of flows
// (BenchmarkOpening, TestLargePoolStaysBalanced).
const (
	sampleSize  = 8
	fullScanMax = 16
)

// candidate is an upstream with its rank and its cost, including the penalty for another
// zone.
type candidate struct {
	target *target
	rank   rank
	cost   float64
}

// betterThan reports whether the candidate is preferred to another one. Any
// candidate is preferred to one without an upstream.
func (c candidate) betterThan(other candidate) bool {
	return other.target == nil || c.target != nil && (c.rank < other.rank || c.rank == other.rank && c.cost < other.cost)
}

func (c candidate) healthy() bool { return c.target != nil && c.rank == rankHealthy }

// choose returns the upstream of a service for a new flow, or nil if there is none. It prefers
// lower ranks, then lower cost; upstreams of other zones carry a cost penalty. If the shares of the
// zones send the flow to another zone, choose compares only upstreams of that zone, and spilled is
// set. The hash is that of the flow's caller.
func (r *Router) choose(now time.Time, service string, class configuration.Class, hash uint64) (chosen *target, spilled bool) {
	p := r.pools[service]
	if p == nil {
		return nil, false
	}
	r.rotation++
	if !p.shares.Empty() {
		if t := r.chooseOtherZone(now, p, class, hash); t != nil {
			return t, true
		}
	}
	return r.chooseByCost(now, p, class), false
}

// chooseByCost is choose for a flow that the shares of the zones do not send to another zone.
func (r *Router) chooseByCost(now time.Time, p *pool, class configuration.Class) *target {
	penalty := remotePenalty
	if class == configuration.Upload {
		penalty = uploadRemotePenalty
	}
	if t := r.trial(now, p.local()); t != nil {
		return t
	}
	best := r.cheapest(now, p.local(), scanCount(p.local()), 0)
	if best.target != nil && best.target.reduced() {
		best = r.pastReduced(now, p.local(), best)
	}
	if best.healthy() && best.cost <= 1+penalty {
		// No upstream of another zone costs less than 1+penalty.
		return best.target
	}
	if bestRemote := r.cheapest(now, p.remote(), scanCount(p.remote()), penalty); bestRemote.betterThan(best) {
		best = bestRemote
	}
	if !best.healthy() && len(p.local())+len(p.remote()) > sampleSize {
		// All sampled upstreams may be unhealthy while others are healthy.
		best = r.cheapest(now, p.local(), len(p.local()), 0)
		if bestRemote := r.cheapest(now, p.remote(), len(p.remote()), penalty); bestRemote.betterThan(best) {
			best = bestRemote
		}
	}
	return best.target
}

// scanCount returns how many upstreams of a list are compared.
func scanCount(all []*target) int {
	if len(all) <= fullScanMax {
		return len(all)
	}
	return sampleSize
}

// cheapest returns the best of count candidates, beginning at the rotating start index.
func (r *Router) cheapest(now time.Time, all []*target, count int, penalty float64) candidate {
	var best candidate
	if len(all) == 0 {
		return best
	}
	index := r.rotation % len(all)
	for range count {
		t := all[index]
		c := candidate{target: t, rank: r.rank(now, t), cost: r.cost(now, t) + penalty}
		if c.betterThan(best) && r.mayPlaceAt(now, t) {
			best = c
		}
		if index++; index == len(all) {
			index = 0
		}
	}
	return best
}

// A buffered packet is placed only if this balancer has fewer than bufferedPendingMax openings and
// requests pending at the upstream. After a power loss of the whole site, each balancer buffers
// about as many packets as the others, and all balancers place theirs at the same time. An upstream
// has room for ten requests. When all packets were placed at once, 230 of 28,000 requests found
// full queues and were rejected three times in a row; with this limit, 25 were.
const bufferedPendingMax = 1

// MayPlace reports whether a buffered packet may be placed now. Packets that have just arrived skip
// this check, since one of them may be the caller's last retransmission. The callers of buffered
// packets retransmitted recently and still wait for some time.
func (r *Router) MayPlace(now time.Time, p Packet) bool {
	if r.settings.Off.Has(mechanism.RoomAfterStart) {
		return true
	}
	if !p.Opening {
		t, _ := r.upstreamOf(now, p)
		return t == nil || p.Length == 0 || t.openings+t.requests < bufferedPendingMax
	}
	configured, ok := r.routes[p.Address]
	if !ok || r.flows[p.Flow()] != nil {
		return true
	}
	hash := p.Flow().callerHash()
	t, _ := r.choose(now, pickBackend(configured.backends, hash), configured.Class, hash)
	return t == nil || t.openings+t.requests < bufferedPendingMax
}

// pickBackend returns the service for a new flow of a route by weight, or "" if all weights
// are 0. The hash is the same for an opening and its retransmissions.
func pickBackend(backends []configuration.Backend, hash uint64) string {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	if total == 0 {
		return ""
	}
	remaining := int(hash % uint64(total))
	for _, b := range backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	return ""
}
