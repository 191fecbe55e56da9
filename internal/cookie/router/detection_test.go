package router_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/accrual"
	"wasabideal/internal/silence/confirmation"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/probe"
	"wasabideal/internal/silence/suspicions"
	"wasabideal/internal/standin/virtual"
	"wasabideal/internal/upstream/view"
)

// Parameters of the simulated pool: callers keep flows open, send requests on them one
// after another, and retransmit a packet after 0.2, 0.6 and 1.4 s.
const (
	poolBalancers      = 7
	poolUpstreams      = 14
	poolCallers        = 300
	poolThinkTime      = 700 * time.Millisecond
	poolDeadline       = 1500 * time.Millisecond
	poolProcessingTime = 20 * time.Millisecond
	// voterTransit is the transit time of a report to a voter, and of suspicions back.
	voterTransit = 3 * time.Millisecond
)

var retransmitAfter = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// poolSimulation simulates callers on open flows, balancers, upstreams and one voter in
// virtual time.
type poolSimulation struct {
	virtual.Clock
	random  *rand.Rand
	routers []*router.Router
	accrual *accrual.Detector
	// confirmation is the voter's probing of the hosts of suspected upstreams.
	confirmation *confirmation.Confirmer
	// received holds the suspicions that each balancer has received.
	received []*suspicions.Set
	// shared is set if balancers report to the voter.
	shared bool
	// dead are the upstreams without power; slow multiplies the processing time of others.
	dead map[uint64]bool
	slow map[uint64]float64
	// loss is the share of packets lost in each direction.
	loss float64
	// relays is the number of balancers that relay messages to and from the voter, each
	// with a delay of up to relayDelayMax.
	relays        int
	relayDelayMax time.Duration
	// stalledUntil is when each balancer resumes, stalledQueue holds the calls that it then
	// runs.
	stalledUntil []time.Time
	stalledQueue [poolBalancers][]func()
	// starved is the time until which an upstream's process gets no CPU; its packets are
	// queued. Index 0 is the host of all callers.
	starved [poolUpstreams + 1]time.Time
	clients []*client
	ports   int
	// requests counts all requests, and unanswered the requests without an answer. wronglyReset
	// counts the flows that were reset although their upstreams were live.
	requests, unanswered, wronglyReset int
}

// client is one caller with one flow.
type client struct {
	packet   router.Packet
	balancer int
	target   uint64
	class    configuration.Class
	// request is the number of the latest request, and started is when the client first sent
	// it; pending is set until the request is answered.
	request int
	started time.Time
	pending bool
}

func newPoolSimulation(t *testing.T, seed uint64, shared bool) *poolSimulation {
	s := &poolSimulation{
		Clock: virtual.Clock{Now: epoch}, random: rand.New(rand.NewPCG(seed, 1)), accrual: accrual.New(), confirmation: confirmation.New(), shared: shared,
		dead: map[uint64]bool{}, slow: map[uint64]float64{}, stalledUntil: make([]time.Time, poolBalancers),
	}
	var targets []view.Target
	for id := uint64(1); id <= poolUpstreams; id++ {
		x := target(id, "orders", "a")
		x.Zone = []string{"a", "b", "c"}[id%3]
		targets = append(targets, x)
	}
	for i := range poolBalancers {
		r := router.New(router.Settings{Zone: []string{"a", "b", "c"}[i%3], Seed: uint64(i)})
		require.NoError(t, r.Configure(configuration.Configuration{Revision: 1, Routes: []configuration.Route{
			{Name: "feed", Address: orders, Service: "orders", Class: configuration.Idempotent},
			{Name: "command", Address: notes, Service: "orders", Class: configuration.Unrepeatable},
		}}))
		r.SetTargets(epoch.Add(-time.Minute), targets)
		s.routers = append(s.routers, r)
		s.received = append(s.received, suspicions.New(3*time.Second))
	}
	for i := range poolCallers {
		c := &client{balancer: i % poolBalancers, class: configuration.Idempotent}
		if i%4 == 0 {
			c.class = configuration.Unrepeatable
		}
		s.clients = append(s.clients, c)
		s.AfterFunc(time.Duration(s.random.Int64N(int64(poolThinkTime))), func() { s.startRequest(c) })
	}
	s.tick()
	return s
}

func (s *poolSimulation) run(until time.Duration) { s.RunUntil(epoch.Add(until)) }

func (s *poolSimulation) tick() {
	s.AfterFunc(100*time.Millisecond, func() {
		for i, r := range s.routers {
			if !s.Now.Before(s.stalledUntil[i]) {
				r.Tick(s.Now)
			}
		}
		s.evaluate()
		s.tick()
	})
}

func (s *poolSimulation) packetLost() bool { return s.random.Float64() < s.loss }

// sendToBalancer delivers a packet to a balancer, or loses it. A stalled balancer receives the
// packet after the stall.
func (s *poolSimulation) sendToBalancer(c *client, p router.Packet, then func(router.Verdict)) {
	if s.packetLost() {
		return
	}
	s.whenRunning(c.balancer, func() { s.route(c, p, then) })
}

// whenRunning runs a function on a balancer. After a stall, the functions run in the order of
// the calls.
func (s *poolSimulation) whenRunning(balancer int, do func()) {
	if !s.Now.Before(s.stalledUntil[balancer]) {
		do()
		return
	}
	s.stalledQueue[balancer] = append(s.stalledQueue[balancer], do)
}

func (s *poolSimulation) stall(balancer int, lasts time.Duration) {
	s.stalledUntil[balancer] = s.Now.Add(lasts)
	s.AfterFunc(lasts, func() {
		if s.Now.Before(s.stalledUntil[balancer]) {
			return
		}
		queue := s.stalledQueue[balancer]
		s.stalledQueue[balancer] = nil
		for _, do := range queue {
			do()
		}
	})
}

func (s *poolSimulation) route(c *client, p router.Packet, then func(router.Verdict)) {
	r := s.routers[c.balancer]
	v := r.Route(s.Now, p)
	s.report(c.balancer)
	then(v)
}

// report sends a balancer's events to the voter.
func (s *poolSimulation) report(balancer int) {
	events := s.routers[balancer].Reports()
	if !s.shared || len(events) == 0 {
		return
	}
	delay := s.voterDelay()
	s.AfterFunc(delay, func() {
		for _, e := range events {
			e.Age += delay
			s.accrual.Record(s.Now, string(rune('a'+balancer)), e)
		}
		s.evaluate()
	})
}

// voterDelay returns the transit time of a message to or from the voter.
func (s *poolSimulation) voterDelay() time.Duration {
	delay := voterTransit
	for range s.relays {
		delay += time.Duration(s.random.Int64N(int64(s.relayDelayMax)))
	}
	return delay
}

// evaluate lets the voter evaluate the evidence and send changed suspicions to all balancers.
func (s *poolSimulation) evaluate() {
	before := s.version()
	next := s.accrual.Evaluate(s.Now, poolBalancers, s.relays)
	if !next.IsZero() {
		s.AfterFunc(next.Sub(s.Now), s.evaluate)
	}
	if s.shared {
		s.probe()
	}
	if s.version() == before && next.IsZero() {
		return
	}
	s.sendSuspicions()
}

// version increases with each change that balancers must receive.
func (s *poolSimulation) version() uint64 { return s.accrual.Version() + s.confirmation.Version() }

func (s *poolSimulation) suspicions() []confirmation.Candidate {
	return lo.Map(s.accrual.Suspicions(s.Now), func(d evidence.Suspicion, _ int) confirmation.Candidate {
		return confirmation.Candidate{Suspicion: d, Upstreams: s.accrual.Implicated(d.Subject)}
	})
}

// probe probes the hosts of suspected upstreams. A host answers even if the upstream's process
// is starved of CPU, but not without power.
func (s *poolSimulation) probe() {
	for _, u := range s.confirmation.NextProbes(s.Now, s.suspicions()) {
		begun, o, took := s.Now, probe.Accepted, 2*transit
		if s.dead[u.Incarnation] {
			o, took = probe.Unanswered, probe.Timeout
		}
		s.AfterFunc(took, func() {
			before := s.version()
			s.confirmation.RecordOutcome(s.Now, begun, u, o)
			if s.version() != before {
				s.sendSuspicions()
			}
		})
	}
}

func (s *poolSimulation) sendSuspicions() {
	all := s.confirmation.Confirm(s.Now, s.suspicions())
	for i := range s.routers {
		s.AfterFunc(s.voterDelay(), func() { s.whenRunning(i, func() { s.applySuspicions(i, all) }) })
	}
}

func (s *poolSimulation) applySuspicions(balancer int, all []evidence.Suspicion) {
	s.received[balancer].Update(s.Now, "voter", all)
	for _, p := range s.routers[balancer].SetSuspicions(s.Now, s.received[balancer].All()) {
		for _, c := range s.clients {
			if c.packet.Caller == p.Caller {
				s.reset(c)
			}
		}
	}
	s.report(balancer)
}

// reset ends a client's flow; a repeatable request is retried on another flow at once.
func (s *poolSimulation) reset(c *client) {
	if c.target != 0 && !s.dead[c.target] {
		s.wronglyReset++
	}
	c.target = 0
	if c.pending && c.class.Repeatable() {
		s.send(c, 0)
	}
}

// startRequest starts a client's next request. The request counts as unanswered if it misses its
// deadline.
func (s *poolSimulation) startRequest(c *client) {
	c.request++
	c.started, c.pending = s.Now, true
	s.requests++
	request := c.request
	s.AfterFunc(poolDeadline, func() {
		if c.pending && c.request == request {
			s.unanswered++
			c.pending, c.target = false, 0
			s.AfterFunc(poolThinkTime, func() { s.startRequest(c) })
		}
	})
	s.send(c, 0)
}

// send sends the request, on a new flow if none is open, and retransmits it.
func (s *poolSimulation) send(c *client, retransmissions int) {
	request := c.request
	if c.target == 0 {
		s.openFlow(c)
		return
	}
	p := c.packet
	p.Length = 300
	s.sendToBalancer(c, p, func(v router.Verdict) {
		if v.Action == router.Reset {
			s.reset(c)
			return
		}
		s.arrive(c, request, v.Incarnation)
	})
	if retransmissions < len(retransmitAfter) {
		flow := c.packet.Caller
		s.AfterFunc(retransmitAfter[retransmissions]-c.elapsed(retransmissions), func() {
			s.whenScheduled(0, func() {
				if c.pending && c.request == request && c.packet.Caller == flow && c.target != 0 {
					s.send(c, retransmissions+1)
				}
			})
		})
	}
}

// elapsed returns the time from the first transmission to the given retransmission.
func (c *client) elapsed(retransmissions int) time.Duration {
	if retransmissions == 0 {
		return 0
	}
	return retransmitAfter[retransmissions-1]
}

func (s *poolSimulation) openFlow(c *client) {
	s.ports++
	address := orders
	if c.class == configuration.Unrepeatable {
		address = notes
	}
	c.packet = router.Packet{Caller: caller(s.ports), Address: address, Opening: true}
	request := c.request
	p := c.packet
	for retransmissions, d := range append([]time.Duration{0}, retransmitAfter[:2]...) {
		s.AfterFunc(d, func() {
			if !c.pending || c.request != request || c.target != 0 || c.packet.Caller != p.Caller {
				return
			}
			p.Copy = uint32(retransmissions)
			s.sendToBalancer(c, p, func(v router.Verdict) {
				if v.Action != router.Forward || s.dead[v.Incarnation] || s.packetLost() {
					return
				}
				s.AfterFunc(2*transit, func() {
					if s.Now.Before(s.starved[v.Incarnation]) {
						return
					}
					if c.pending && c.request == request && c.target == 0 && c.packet.Caller == p.Caller {
						c.packet.Opening, c.packet.Cookie, c.target = false, v.Cookie, v.Incarnation
						s.send(c, 0)
					}
				})
			})
		})
	}
}

// starve starves an upstream's process of CPU, or all callers if id is 0.
func (s *poolSimulation) starve(id uint64, lasts time.Duration) { s.starved[id] = s.Now.Add(lasts) }

// whenScheduled runs a function as soon as the process of an upstream gets CPU, or that of all
// callers if id is 0.
func (s *poolSimulation) whenScheduled(id uint64, do func()) {
	if !s.Now.Before(s.starved[id]) {
		do()
		return
	}
	s.AfterFunc(s.starved[id].Sub(s.Now), do)
}

// arrive processes a request at an upstream, which answers the caller directly.
func (s *poolSimulation) arrive(c *client, request int, upstream uint64) {
	if s.dead[upstream] || s.packetLost() || s.packetLost() {
		return
	}
	s.whenScheduled(upstream, func() { s.process(c, request, upstream) })
}

func (s *poolSimulation) process(c *client, request int, upstream uint64) {
	took := time.Duration((0.5 + s.random.ExpFloat64()/2) * float64(poolProcessingTime) * max(s.slow[upstream], 1))
	s.AfterFunc(took+transit, func() { s.whenScheduled(0, func() { s.answer(c, request, upstream) }) })
}

func (s *poolSimulation) answer(c *client, request int, upstream uint64) {
	if !c.pending || c.request != request || c.target != upstream {
		return
	}
	c.pending = false
	c.packet.Sequence += 300
	c.packet.Acknowledged += 2000
	s.sendToBalancer(c, c.packet, func(router.Verdict) {})
	s.AfterFunc(time.Duration(s.random.ExpFloat64()*float64(poolThinkTime)), func() { s.startRequest(c) })
}

// unansweredAfterPowerFailure simulates a pool in which a quarter of the upstreams lose power. It
// returns the share of unanswered requests among those of the next two seconds.
func unansweredAfterPowerFailure(t *testing.T, seed uint64, shared bool) float64 {
	s := newPoolSimulation(t, seed, shared)
	s.run(2 * time.Second)
	requests, unanswered := s.requests, s.unanswered
	s.dead[2], s.dead[5], s.dead[9], s.dead[12] = true, true, true, true
	s.run(4 * time.Second)
	requests = s.requests - requests
	s.run(6 * time.Second)
	require.Zero(t, s.wronglyReset, "flows of live upstreams were reset")
	return float64(s.unanswered-unanswered) / float64(requests)
}

// A quarter of a pool loses power while callers have open flows there. Each of the seven balancers
// sees only a seventh of the unanswered packets. When flows were reset only once announcements were
// overdue, one request in ten got no answer.
func TestSharedSuspicionsSaveRequests(t *testing.T) {
	unshared, shared := 0.0, 0.0
	for seed := range uint64(4) {
		unshared += unansweredAfterPowerFailure(t, seed, false) / 4
		shared += unansweredAfterPowerFailure(t, seed, true) / 4
	}
	t.Logf("unanswered: %.3f without shared suspicions, %.3f with them", unshared, shared)
	require.Less(t, shared, 0.35*unshared)
}

var seeds = flag.Int("seeds", 100, "number of random simulations of pools with live upstreams")

// Packets are lost at random, upstreams are slow, and balancers stall. Flows of live upstreams must
// not be reset.
func TestLiveUpstreamsLoseNoFlow(t *testing.T) {
	for seed := range uint64(*seeds) {
		s := newPoolSimulation(t, seed, true)
		r := rand.New(rand.NewPCG(seed, 2))
		s.loss = []float64{0, 0.02, 0.05, 0.1}[r.IntN(4)]
		for range r.IntN(4) {
			s.slow[1+r.Uint64N(poolUpstreams)] = 2 + 10*r.Float64()
		}
		for range r.IntN(4) {
			balancer, lasts := r.IntN(poolBalancers), time.Duration(r.IntN(1500))*time.Millisecond
			s.AfterFunc(time.Duration(r.IntN(2000))*time.Millisecond, func() { s.stall(balancer, lasts) })
		}
		s.run(3 * time.Second)
		require.Zero(t, s.wronglyReset, "seed %d", seed)
		require.NotZero(t, s.requests)
	}
}

// Upstreams, callers or balancers are starved of CPU for a while. Their flows must not be reset.
func TestStarvedUpstreamsLoseNoFlow(t *testing.T) {
	for seed := range uint64(*seeds) {
		s := newPoolSimulation(t, seed, true)
		r := rand.New(rand.NewPCG(seed, 3))
		for range 1 + r.IntN(4) {
			id, lasts := r.Uint64N(poolUpstreams+1), time.Duration(50+r.IntN(1450))*time.Millisecond
			s.AfterFunc(time.Duration(500+r.IntN(1500))*time.Millisecond, func() { s.starve(id, lasts) })
		}
		if r.IntN(2) == 0 {
			balancer, lasts := r.IntN(poolBalancers), time.Duration(r.IntN(1500))*time.Millisecond
			s.AfterFunc(time.Duration(r.IntN(2000))*time.Millisecond, func() { s.stall(balancer, lasts) })
		}
		s.run(4 * time.Second)
		require.Zero(t, s.wronglyReset, "seed %d", seed)
		require.NotZero(t, s.requests)
	}
}

// Upstreams are slow, and 10 % of the packets are lost. Balancers poll the voters through relays on
// narrow links, which batch what they relay. A timeout for refutations of 60 ms suffices for direct
// polls, but reset flows of live upstreams behind relays.
func TestRelayedRefutationsArriveInTime(t *testing.T) {
	// With a timeout of 60 ms, seed 353 reset a flow of a live upstream.
	for _, seed := range append([]uint64{353}, lo.RangeFrom(uint64(0), *seeds)...) {
		s := newPoolSimulation(t, seed, true)
		s.relays, s.relayDelayMax = 2, 75*time.Millisecond
		s.loss = 0.1
		r := rand.New(rand.NewPCG(seed, 2))
		for range 4 {
			s.slow[1+r.Uint64N(poolUpstreams)] = 2 + 10*r.Float64()
		}
		s.run(3 * time.Second)
		require.Zero(t, s.wronglyReset, "seed %d", seed)
		require.NotZero(t, s.requests)
	}
}

// Reports of unanswered packets must not fill the links to the voters.
func TestReportsAreRateLimited(t *testing.T) {
	r := newRouter(t, target(1, "orders", "a"))
	for n := range 500 {
		r.Route(epoch, opening(n))
	}
	later := epoch.Add(300 * time.Millisecond)
	for n := range 500 {
		r.Route(later, opening(n))
	}
	require.Len(t, r.Reports(), 64)
	r.Tick(later)
	for n := range 500 {
		r.Route(later.Add(time.Millisecond), opening(1000+n))
		r.Route(later.Add(300*time.Millisecond), opening(1000+n))
	}
	require.Len(t, r.Reports(), 4)
}

// A zone is partitioned, and all upstreams of a service are unresponsive. Openings used to be
// forwarded to one of these upstreams, and reset only with the voters' next response: callers
// waited up to 0.8 s.
func TestFlowToUnresponsiveZoneIsReset(t *testing.T) {
	r := newRouter(t, target(1, "orders", "b"), target(2, "orders", "b"))
	unresponsive := map[evidence.Subject]suspicions.Suspicion{{Zone: "b"}: {First: epoch, Unresponsive: true}}
	r.SetSuspicions(epoch.Add(time.Second), unresponsive)
	v := r.Route(epoch.Add(time.Second), opening(1))
	require.Equal(t, router.Reset, v.Action)
	require.Equal(t, router.Unresponsive, v.Reason)
	r.SetSuspicions(epoch.Add(2*time.Second), nil)
	require.Equal(t, router.Placed, r.Route(epoch.Add(2*time.Second), opening(1)).Reason)
}
