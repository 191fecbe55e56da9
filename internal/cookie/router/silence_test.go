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
	"wasabideal/internal/silence/doubts"
	"wasabideal/internal/silence/probe"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/standin/virtual"
	"wasabideal/internal/upstream/view"
)

// The pool of the replays of silence: callers keep flows open, ask again and again on
// them, and repeat a packet after 0.2, 0.6 and 1.4 s.
const (
	poolBalancers = 7
	poolUpstreams = 14
	poolCallers   = 300
	poolPause     = 700 * time.Millisecond
	poolDeadline  = 1500 * time.Millisecond
	poolWork      = 20 * time.Millisecond
	// toVoter is the way of a report to a voter, and of its doubts back.
	toVoter = 3 * time.Millisecond
)

var repeatsAfter = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// pool replays callers on open flows, balancers, upstreams and one voter in virtual time.
type pool struct {
	virtual.Time
	random  *rand.Rand
	routers []*router.Router
	accrual *accrual.Accrual
	// confirmation is the voter's probes of the hosts of silent upstreams.
	confirmation *confirmation.Confirmation
	doubts       []*doubts.Doubts
	// shared says that balancers tell the voter what they see.
	shared bool
	// dead are the upstreams without power; slow work that many times longer.
	dead map[uint64]bool
	slow map[uint64]float64
	// loss is the share of packets that is lost on each way.
	loss float64
	// passing is how many balancers pass on what the voter and the others say, each after
	// up to passingMost.
	passing     int
	passingMost time.Duration
	// frozen are until when a balancer stands still, queued what it finds then.
	frozen []time.Time
	queued [poolBalancers][]func()
	// starved are until when an upstream's process, or all callers on their host, wait for a
	// processor: their packets wait in a queue. Index 0 is the callers' host.
	starved [poolUpstreams + 1]time.Time
	users   []*user
	ports   int
	// asked, lost and killed count requests: all, those without an answer, and flows
	// of upstreams that live and were reset.
	asked, lost, killed int
}

// user is one caller with one flow.
type user struct {
	packet   router.Packet
	balancer int
	target   uint64
	class    configuration.Class
	// number is that of the request under way, begun its start, open that it waits.
	number int
	begun  time.Time
	open   bool
}

func newPool(t *testing.T, seed uint64, shared bool) *pool {
	s := &pool{
		Time: virtual.Time{Now: epoch}, random: rand.New(rand.NewPCG(seed, 1)), accrual: accrual.New(), confirmation: confirmation.New(), shared: shared,
		dead: map[uint64]bool{}, slow: map[uint64]float64{}, frozen: make([]time.Time, poolBalancers),
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
		s.doubts = append(s.doubts, doubts.New(3*time.Second))
	}
	for i := range poolCallers {
		u := &user{balancer: i % poolBalancers, class: configuration.Idempotent}
		if i%4 == 0 {
			u.class = configuration.Unrepeatable
		}
		s.users = append(s.users, u)
		s.After(time.Duration(s.random.Int64N(int64(poolPause))), func() { s.ask(u) })
	}
	s.tick()
	return s
}

func (s *pool) run(until time.Duration) { s.Run(epoch.Add(until)) }

func (s *pool) tick() {
	s.After(100*time.Millisecond, func() {
		for i, r := range s.routers {
			if !s.Now.Before(s.frozen[i]) {
				r.Tick(s.Now)
			}
		}
		s.decide()
		s.tick()
	})
}

func (s *pool) isLost() bool { return s.random.Float64() < s.loss }

// through hands a packet to a balancer, once that does not stand still.
func (s *pool) through(u *user, p router.Packet, then func(router.Verdict)) {
	if s.isLost() {
		return
	}
	s.at(u.balancer, func() { s.route(u, p, then) })
}

// at lets a balancer do something, in the order of arrival once it stands still no more.
func (s *pool) at(balancer int, do func()) {
	if !s.Now.Before(s.frozen[balancer]) {
		do()
		return
	}
	s.queued[balancer] = append(s.queued[balancer], do)
}

func (s *pool) freeze(balancer int, lasts time.Duration) {
	s.frozen[balancer] = s.Now.Add(lasts)
	s.After(lasts, func() {
		if s.Now.Before(s.frozen[balancer]) {
			return
		}
		queue := s.queued[balancer]
		s.queued[balancer] = nil
		for _, do := range queue {
			do()
		}
	})
}

func (s *pool) route(u *user, p router.Packet, then func(router.Verdict)) {
	r := s.routers[u.balancer]
	v := r.Route(s.Now, p)
	s.tell(u.balancer)
	then(v)
}

// tell passes what a balancer saw to the voter.
func (s *pool) tell(balancer int) {
	events := s.routers[balancer].Reports()
	if !s.shared || len(events) == 0 {
		return
	}
	way := s.wayToVoter()
	s.After(way, func() {
		for _, e := range events {
			e.Age += way
			s.accrual.Note(s.Now, string(rune('a'+balancer)), e)
		}
		s.decide()
	})
}

// wayToVoter is how long a message takes to the voter or back.
func (s *pool) wayToVoter() time.Duration {
	way := toVoter
	for range s.passing {
		way += time.Duration(s.random.Int64N(int64(s.passingMost)))
	}
	return way
}

// decide lets the voter weigh the evidence and tell all balancers what changed.
func (s *pool) decide() {
	before := s.version()
	next := s.accrual.Decide(s.Now, poolBalancers, s.passing)
	if !next.IsZero() {
		s.After(next.Sub(s.Now), s.decide)
	}
	if s.shared {
		s.probe()
	}
	if s.version() == before && next.IsZero() {
		return
	}
	s.tellDoubts()
}

// version rises with what balancers are to be told.
func (s *pool) version() uint64 { return s.accrual.Version() + s.confirmation.Version() }

func (s *pool) suspicions() []confirmation.Suspicion {
	return lo.Map(s.accrual.Doubts(s.Now), func(d word.Doubt, _ int) confirmation.Suspicion {
		return confirmation.Suspicion{Doubt: d, Upstreams: s.accrual.Implicated(d.Subject)}
	})
}

// probe asks the hosts of silent upstreams: that of one whose process waits for a processor
// answers, that of one without power does not.
func (s *pool) probe() {
	for _, u := range s.confirmation.Due(s.Now, s.suspicions()) {
		begun, o, took := s.Now, probe.Accepted, 2*way
		if s.dead[u.Incarnation] {
			o, took = probe.Unanswered, probe.Patience
		}
		s.After(took, func() {
			before := s.version()
			s.confirmation.Probed(s.Now, begun, u, o)
			if s.version() != before {
				s.tellDoubts()
			}
		})
	}
}

func (s *pool) tellDoubts() {
	all := s.confirmation.Confirm(s.Now, s.suspicions())
	for i := range s.routers {
		s.After(s.wayToVoter(), func() { s.at(i, func() { s.doubt(i, all) }) })
	}
}

func (s *pool) doubt(balancer int, all []word.Doubt) {
	s.doubts[balancer].Take(s.Now, "voter", all)
	for _, p := range s.routers[balancer].Doubt(s.Now, s.doubts[balancer].All()) {
		for _, u := range s.users {
			if u.packet.Caller == p.Caller {
				s.reset(u)
			}
		}
	}
	s.tell(balancer)
}

// reset ends a user's flow; a request that may run again is asked on another at once.
func (s *pool) reset(u *user) {
	if u.target != 0 && !s.dead[u.target] {
		s.killed++
	}
	u.target = 0
	if u.open && u.class.Repeatable() {
		s.send(u, 0)
	}
}

// ask begins a request.
func (s *pool) ask(u *user) {
	u.number++
	u.begun, u.open = s.Now, true
	s.asked++
	n := u.number
	s.After(poolDeadline, func() {
		if u.open && u.number == n {
			s.lost++
			u.open, u.target = false, 0
			s.After(poolPause, func() { s.ask(u) })
		}
	})
	s.send(u, 0)
}

// send sends the request, on a new flow if none is open, and repeats it.
func (s *pool) send(u *user, copies int) {
	n := u.number
	if u.target == 0 {
		s.openFlow(u)
		return
	}
	p := u.packet
	p.Length = 300
	s.through(u, p, func(v router.Verdict) {
		if v.Action == router.Reset {
			s.reset(u)
			return
		}
		s.arrive(u, n, v.Incarnation)
	})
	if copies < len(repeatsAfter) {
		flow := u.packet.Caller
		s.After(repeatsAfter[copies]-u.elapsed(copies), func() {
			s.onProcessor(0, func() {
				if u.open && u.number == n && u.packet.Caller == flow && u.target != 0 {
					s.send(u, copies+1)
				}
			})
		})
	}
}

// elapsed is how long after the first copy one is sent.
func (u *user) elapsed(copies int) time.Duration {
	if copies == 0 {
		return 0
	}
	return repeatsAfter[copies-1]
}

func (s *pool) openFlow(u *user) {
	s.ports++
	address := orders
	if u.class == configuration.Unrepeatable {
		address = notes
	}
	u.packet = router.Packet{Caller: caller(s.ports), Address: address, Opening: true}
	n := u.number
	p := u.packet
	for copies, d := range append([]time.Duration{0}, repeatsAfter[:2]...) {
		s.After(d, func() {
			if !u.open || u.number != n || u.target != 0 || u.packet.Caller != p.Caller {
				return
			}
			p.Copy = uint32(copies)
			s.through(u, p, func(v router.Verdict) {
				if v.Action != router.Forward || s.dead[v.Incarnation] || s.isLost() {
					return
				}
				s.After(2*way, func() {
					if s.Now.Before(s.starved[v.Incarnation]) {
						return
					}
					if u.open && u.number == n && u.target == 0 && u.packet.Caller == p.Caller {
						u.packet.Opening, u.packet.Cookie, u.target = false, v.Cookie, v.Incarnation
						s.send(u, 0)
					}
				})
			})
		})
	}
}

// starve lets an upstream's process, or with 0 all callers, wait for a processor.
func (s *pool) starve(id uint64, lasts time.Duration) { s.starved[id] = s.Now.Add(lasts) }

// onProcessor does something on an upstream's VM, or with 0 the callers', as soon as it has a
// processor.
func (s *pool) onProcessor(id uint64, do func()) {
	if !s.Now.Before(s.starved[id]) {
		do()
		return
	}
	s.After(s.starved[id].Sub(s.Now), do)
}

// arrive runs a request at an upstream and sends the answer straight to the caller.
func (s *pool) arrive(u *user, n int, id uint64) {
	if s.dead[id] || s.isLost() || s.isLost() {
		return
	}
	s.onProcessor(id, func() { s.work(u, n, id) })
}

func (s *pool) work(u *user, n int, id uint64) {
	work := time.Duration((0.5 + s.random.ExpFloat64()/2) * float64(poolWork) * max(s.slow[id], 1))
	s.After(work+way, func() { s.onProcessor(0, func() { s.answer(u, n, id) }) })
}

func (s *pool) answer(u *user, n int, id uint64) {
	if !u.open || u.number != n || u.target != id {
		return
	}
	u.open = false
	u.packet.Sequence += 300
	u.packet.Acknowledged += 2000
	s.through(u, u.packet, func(router.Verdict) {})
	s.After(time.Duration(s.random.ExpFloat64()*float64(poolPause)), func() { s.ask(u) })
}

// silence plays a pool of which a quarter loses power, and returns the share of the
// requests of the next two seconds that got no answer.
func silence(t *testing.T, seed uint64, shared bool) float64 {
	s := newPool(t, seed, shared)
	s.run(2 * time.Second)
	asked, lost := s.asked, s.lost
	s.dead[2], s.dead[5], s.dead[9], s.dead[12] = true, true, true, true
	s.run(4 * time.Second)
	asked = s.asked - asked
	s.run(6 * time.Second)
	require.Zero(t, s.killed, "flows of upstreams that live were reset")
	return float64(s.lost-lost) / float64(asked)
}

// Symptom: one request in ten got no answer in the seconds after some upstreams lost
// power, feeds among them that could have been asked again.
// Events: a quarter of a pool loses power; callers have flows open there.
// Cause: each balancer saw a seventh of the silence, and flows were reset only once the
// upstream's announcements were overdue.
func TestSilenceKnownTogetherSavesRequests(t *testing.T) {
	alone, together := 0.0, 0.0
	for seed := range uint64(4) {
		alone += silence(t, seed, false) / 4
		together += silence(t, seed, true) / 4
	}
	t.Logf("without an answer: %.3f each alone, %.3f together", alone, together)
	require.Less(t, together, 0.35*alone)
}

var seeds = flag.Int("seeds", 100, "random runs of pools whose upstreams live")

// TestUpstreamsThatLiveLoseNoFlow plays packets that are lost on the way, slow
// upstreams, and balancers that stand still, at random.
func TestUpstreamsThatLiveLoseNoFlow(t *testing.T) {
	for seed := range uint64(*seeds) {
		s := newPool(t, seed, true)
		r := rand.New(rand.NewPCG(seed, 2))
		s.loss = []float64{0, 0.02, 0.05, 0.1}[r.IntN(4)]
		for range r.IntN(4) {
			s.slow[1+r.Uint64N(poolUpstreams)] = 2 + 10*r.Float64()
		}
		for range r.IntN(4) {
			balancer, lasts := r.IntN(poolBalancers), time.Duration(r.IntN(1500))*time.Millisecond
			s.After(time.Duration(r.IntN(2000))*time.Millisecond, func() { s.freeze(balancer, lasts) })
		}
		s.run(3 * time.Second)
		require.Zero(t, s.killed, "seed %d", seed)
		require.NotZero(t, s.asked)
	}
}

// Guards against resets of flows whose upstreams, callers or balancers only wait for a processor.
func TestStarvedUpstreamsLoseNoFlow(t *testing.T) {
	for seed := range uint64(*seeds) {
		s := newPool(t, seed, true)
		r := rand.New(rand.NewPCG(seed, 3))
		for range 1 + r.IntN(4) {
			id, lasts := r.Uint64N(poolUpstreams+1), time.Duration(50+r.IntN(1450))*time.Millisecond
			s.After(time.Duration(500+r.IntN(1500))*time.Millisecond, func() { s.starve(id, lasts) })
		}
		if r.IntN(2) == 0 {
			balancer, lasts := r.IntN(poolBalancers), time.Duration(r.IntN(1500))*time.Millisecond
			s.After(time.Duration(r.IntN(2000))*time.Millisecond, func() { s.freeze(balancer, lasts) })
		}
		s.run(4 * time.Second)
		require.Zero(t, s.killed, "seed %d", seed)
		require.NotZero(t, s.asked)
	}
}

// Symptom: a flow was reset though its upstream served.
// Events: upstreams are slow and packets are lost in a burst; balancers report that, are
// asked for liveness reports, and give them, all through other balancers on narrow links that
// gather what they pass on.
// Cause: they had 60 ms for that, which suffices where all ask the voters.
func TestRefutationsThroughOtherBalancersComeInTime(t *testing.T) {
	// Seed 353 broke a flow with 60 ms.
	for _, seed := range append([]uint64{353}, lo.RangeFrom(uint64(0), *seeds)...) {
		s := newPool(t, seed, true)
		s.passing, s.passingMost = 2, 75*time.Millisecond
		s.loss = 0.1
		r := rand.New(rand.NewPCG(seed, 2))
		for range 4 {
			s.slow[1+r.Uint64N(poolUpstreams)] = 2 + 10*r.Float64()
		}
		s.run(3 * time.Second)
		require.Zero(t, s.killed, "seed %d", seed)
		require.NotZero(t, s.asked)
	}
}

// A storm of packets without an answer must not fill the links to voters.
func TestReportsAreBounded(t *testing.T) {
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

// Symptom: callers in a zone that was cut off waited up to 0.8 s for a refusal.
// Events: no upstream of a service is left on their side of the cut; those on the other
// are unresponsive.
// Cause: openings were sent to one of these, and reset with the voters' next answer.
func TestFlowThatNoUpstreamCanServeIsRefusedAtOnce(t *testing.T) {
	r := newRouter(t, target(1, "orders", "b"), target(2, "orders", "b"))
	silent := map[word.Subject]doubts.Doubt{{Zone: "b"}: {First: epoch, Unresponsive: true}}
	r.Doubt(epoch.Add(time.Second), silent)
	v := r.Route(epoch.Add(time.Second), opening(1))
	require.Equal(t, router.Reset, v.Action)
	require.Equal(t, router.Unresponsive, v.Reason)
	r.Doubt(epoch.Add(2*time.Second), nil)
	require.Equal(t, router.Placed, r.Route(epoch.Add(2*time.Second), opening(1)).Reason)
}
