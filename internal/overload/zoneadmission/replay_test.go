package zoneadmission_test

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/overload/zoneadmission"
	"wasabideal/internal/standin/virtual"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	objective = 400 * time.Millisecond
	// slots and queueLength are those of one upstream.
	slots, queueLength = 2, 8
	upstreams          = 120
	maxTries           = 3
	// viewInterval and viewAge are the time between two views, and how old each is when it arrives.
	viewInterval, viewAge = 50 * time.Millisecond, 250 * time.Millisecond
	sampleInterval        = 20 * time.Millisecond
	// occupancyWindow is the time over which balancers average the slots that they report.
	occupancyWindow = 200 * time.Millisecond
	burstBegin      = time.Second
	// detected is the time after the begin of a burst from which all balancers have a view of it,
	// and queues that filled before are short again.
	detected = 600 * time.Millisecond
	// recovery is the time after the end of a burst within which service is as before.
	recovery = time.Second
)

// zone has balancers and a share of the load.
type zone struct {
	balancers int
	load      float64
}

// measuredZones have the numbers of balancers of the measured burst.
var measuredZones = []zone{{26, 0.34}, {31, 0.33}, {28, 0.33}}

// upstream is a stand-in that processes requests in order.
type upstream struct {
	busy  int
	queue []func()
}

// balancer counts its requests in flight, and remembers the latest view.
type balancer struct {
	zone, inFlight int
	// elsewhere is the part of occupied by callers of other zones.
	occupied, elsewhere, inFlightThen float64
	// measured is when the view was measured, zero if there is none.
	measured time.Time
	history  zoneadmission.History
}

// attempt is one attempt of a caller to open a flow. Each comes from another port.
type attempt struct {
	address uint32
	port    uint16
}

// flowHash returns the hash of a flow from an address and port.
func flowHash(address uint32, port uint16) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint32(nil, address), port))
}

// choice decides whether an attempt is rejected at a rejected share.
type choice func(now time.Time, d zoneadmission.Decision, a attempt) bool

// replay is a loop of callers, balancers and upstreams in virtual time.
type replay struct {
	virtual.Clock
	random    *rand.Rand
	work      time.Duration
	zones     []zone
	balancers []*balancer
	upstreams []*upstream
	burst     time.Duration
	// limited is whether balancers reject flows at all; rejects, if set, replaces the choice.
	limited bool
	rejects choice
	// lost returns whether the view of the given time is lost, and late its delay beyond viewAge.
	lost func(measured time.Time) bool
	late func() time.Duration
	// response is the moving average of response times. workFactor is the error of the work that
	// balancers take from it.
	response   time.Duration
	workFactor float64
	// samples are the recent numbers of requests at upstreams by zone of the callers.
	samples [][]float64
	// retryDelay returns the time between a rejection and the next try.
	retryDelay func() time.Duration
	counts     counts
}

// counts are the results of a replay.
type counts struct {
	// offered and served are the callers of the burst by tier and by zone.
	offered, served         [2]int
	zoneOffered, zoneServed []int
	// rejectedThrice are those with three rejections.
	tries, rejectedThrice int
	// refused are the requests that found a full queue; refusedDetected are those after detected.
	refused, refusedDetected int
	rejectedBelowHalf        int
	// rejectedRecovered are the rejections and refusals later than recovery after the burst.
	rejectedRecovered int
	// answered are the requests answered during the burst, late ones included.
	answered, late int
	// uses are the requests at upstreams per slot from detected to the end of the burst.
	uses []float64
}

func (c counts) share(tier int) float64 { return share(c.served[tier], c.offered[tier]) }

func (c counts) all() float64 {
	return share(c.served[0]+c.served[1], c.offered[0]+c.offered[1])
}

func (c counts) zones() []float64 {
	var out []float64
	for i, n := range c.zoneOffered {
		out = append(out, share(c.zoneServed[i], n))
	}
	return out
}

func newReplay(seed uint64, work time.Duration) *replay {
	return newReplayOf(seed, work, measuredZones)
}

func newReplayOf(seed uint64, work time.Duration, zones []zone) *replay {
	r := &replay{
		Clock: virtual.Clock{Now: epoch}, random: rand.New(rand.NewPCG(seed, 2)), work: work, zones: zones, response: work, workFactor: 1, limited: true,
		lost: func(time.Time) bool { return false }, late: func() time.Duration { return 0 },
		counts: counts{zoneOffered: make([]int, len(zones)), zoneServed: make([]int, len(zones))},
	}
	r.retryDelay = func() time.Duration {
		return 5*time.Millisecond + time.Duration(r.random.Int64N(int64(95*time.Millisecond)))
	}
	for zone, z := range zones {
		for range z.balancers {
			r.balancers = append(r.balancers, &balancer{zone: zone})
		}
	}
	for range upstreams {
		r.upstreams = append(r.upstreams, &upstream{})
	}
	return r
}

// slots returns the number of requests that the upstreams process concurrently.
func (r *replay) slots() float64 { return float64(len(r.upstreams) * slots) }

// capacity is the number of requests per second that the upstreams can process.
func (r *replay) capacity() float64 { return r.slots() / r.work.Seconds() }

// sinceBurst returns the time since the burst began.
func (r *replay) sinceBurst() time.Duration { return r.Now.Sub(epoch) - burstBegin }

func (r *replay) inBurst() bool { return r.sinceBurst() >= 0 && r.sinceBurst() < r.burst }

// run plays a load, given as a share of the capacity, with a burst of a multiple of it, and two
// seconds more.
func (r *replay) run(load, multiple float64, burst time.Duration) counts {
	r.burst = burst
	r.offer(load, multiple)
	r.sample()
	r.RunUntil(epoch.Add(burstBegin + burst + 2*time.Second))
	return r.counts
}

// offer starts callers at random intervals, a quarter of them urgent.
func (r *replay) offer(load, multiple float64) {
	rate := load * r.capacity()
	if r.inBurst() {
		rate *= multiple
	}
	r.AfterFunc(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c := &caller{address: uint32(r.random.IntN(2048)), urgent: r.random.IntN(4) == 0, counted: r.inBurst()}
		c.zone = len(r.zones) - 1
		for x := r.random.Float64(); c.zone > 0 && x >= r.zones[c.zone].load; c.zone-- {
			x -= r.zones[c.zone].load
		}
		if c.counted {
			r.counts.offered[c.tier()]++
			r.counts.zoneOffered[c.zone]++
		}
		r.try(c)
		r.offer(load, multiple)
	})
}

// caller is one request, which needs a flow of its own.
type caller struct {
	address         uint32
	urgent, counted bool
	zone, tries     int
	rejections      int
}

func (c *caller) tier() int {
	if c.urgent {
		return 1
	}
	return 0
}

// try opens a flow through a random balancer of the caller's zone.
func (r *replay) try(c *caller) {
	if c.tries++; c.tries > maxTries {
		if c.counted && c.rejections == maxTries {
			r.counts.rejectedThrice++
		}
		return
	}
	var own []*balancer
	for _, b := range r.balancers {
		if b.zone == c.zone {
			own = append(own, b)
		}
	}
	b := own[r.random.IntN(len(own))]
	if c.counted {
		r.counts.tries++
	}
	if r.rejected(b, c) {
		c.rejections++
		r.AfterFunc(r.retryDelay(), func() { r.try(c) })
		return
	}
	r.place(b, c)
}

func (r *replay) rejected(b *balancer, c *caller) bool {
	if !r.limited || b.measured.IsZero() || r.Now.Sub(b.measured) > time.Second {
		return false
	}
	a := attempt{c.address, uint16(r.random.Uint32())}
	d := zoneadmission.Decide(zoneadmission.Load{
		Occupied: b.occupied, Elsewhere: b.elsewhere, Slots: r.slots(), InFlightThen: b.inFlightThen, InFlight: float64(b.inFlight),
	}, zoneadmission.Flow{Objective: objective, UrgentObjective: objective, Work: time.Duration(float64(r.response) * r.workFactor), Urgent: c.urgent, Number: flowHash(a.address, a.port)})
	rejected := !d.Admitted
	if r.rejects != nil && d.RejectedShare > 0 && d.RejectedShare < 1 {
		rejected = r.rejects(r.Now, d, a)
	}
	if rejected && d.Use < zoneadmission.Idle {
		r.counts.rejectedBelowHalf++
	}
	if rejected && r.sinceBurst() >= r.burst+recovery {
		r.counts.rejectedRecovered++
	}
	return rejected
}

// place sends the request to the least loaded of eight upstreams.
func (r *replay) place(b *balancer, c *caller) {
	best := r.upstreams[r.random.IntN(len(r.upstreams))]
	for range 7 {
		if u := r.upstreams[r.random.IntN(len(r.upstreams))]; u.busy+len(u.queue) < best.busy+len(best.queue) {
			best = u
		}
	}
	sent := r.Now
	b.inFlight++
	done := func() {
		b.inFlight--
		r.response += (r.Now.Sub(sent) - r.response) / 64
		if r.inBurst() {
			r.counts.answered++
		}
		if r.Now.Sub(sent) > objective {
			r.counts.late++
		}
		if c.counted {
			r.counts.served[c.tier()]++
			r.counts.zoneServed[c.zone]++
		}
	}
	process := func() {
		r.AfterFunc(time.Duration((0.5+r.random.ExpFloat64()/2)*float64(r.work)), func() {
			best.busy--
			if len(best.queue) > 0 {
				next := best.queue[0]
				best.queue = best.queue[1:]
				best.busy++
				next()
			}
			done()
		})
	}
	switch {
	case best.busy < slots:
		best.busy++
		process()
	case len(best.queue) < queueLength:
		best.queue = append(best.queue, process)
	default:
		b.inFlight--
		r.counts.refused++
		if r.inBurst() && r.sinceBurst() >= detected {
			r.counts.refusedDetected++
		}
		if r.sinceBurst() >= r.burst+recovery {
			r.counts.rejectedRecovered++
		}
		r.AfterFunc(r.retryDelay(), func() { r.try(c) })
	}
}

// sample measures the occupied slots, and delivers a view of them to all balancers viewAge later.
func (r *replay) sample() {
	r.AfterFunc(sampleInterval, func() {
		occupied := 0.0
		for _, u := range r.upstreams {
			occupied += float64(u.busy + len(u.queue))
		}
		if r.inBurst() && r.sinceBurst() >= detected {
			r.counts.uses = append(r.counts.uses, occupied/r.slots())
		}
		byZone := make([]float64, len(r.zones))
		for _, b := range r.balancers {
			byZone[b.zone] += float64(b.inFlight)
		}
		r.samples = append(r.samples, byZone)
		r.samples = r.samples[max(len(r.samples)-int(occupancyWindow/sampleInterval), 0):]
		for _, b := range r.balancers {
			b.history.Record(r.Now, b.inFlight)
		}
		if r.Now.Sub(epoch)%viewInterval < sampleInterval && !r.lost(r.Now) {
			r.deliver(r.meanSample(), r.Now)
		}
		r.sample()
	})
}

// meanSample returns the mean of the samples by zone.
func (r *replay) meanSample() []float64 {
	out := make([]float64, len(r.zones))
	for _, byZone := range r.samples {
		for i, n := range byZone {
			out[i] += n / float64(len(r.samples))
		}
	}
	return out
}

// deliver applies a view at all balancers, unless a later one has arrived before.
func (r *replay) deliver(byZone []float64, measured time.Time) {
	occupied := 0.0
	for _, n := range byZone {
		occupied += n
	}
	r.AfterFunc(viewAge+r.late(), func() {
		for _, b := range r.balancers {
			if measured.After(b.measured) {
				then, _ := b.history.Mean(measured)
				b.occupied, b.elsewhere, b.measured, b.inFlightThen = occupied, occupied-byZone[b.zone], measured, then
			}
		}
	})
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, x := range all {
		sum += x
	}
	return sum / max(float64(len(all)), 1)
}

func share(part, whole int) float64 { return float64(part) / max(float64(whole), 1) }

// burstMultiple raises ordinaryLoad to 1.2 times the capacity.
const ordinaryLoad, burstMultiple, burstLength = 0.15, 8, 3 * time.Second

// Guards against queues that fill up because balancers reject too late, or reject in turns too much
// and too little because a view is 250 ms old. A burst of eight times the load exceeds the capacity
// by a fifth. Without the decision, upstreams refuse half of the requests and urgent callers fail
// like all others. When the growth was measured since the arrival of the view, 15 % of the requests
// were refused and fewer callers served than without any limit.
func TestBurstOfEightTimesTheLoad(t *testing.T) {
	for _, work := range []time.Duration{15 * time.Millisecond, 20 * time.Millisecond} {
		unlimited := newReplay(1, work)
		unlimited.limited = false
		without := unlimited.run(ordinaryLoad, burstMultiple, burstLength)
		with := newReplay(1, work).run(ordinaryLoad, burstMultiple, burstLength)
		for _, c := range []counts{without, with} {
			t.Logf("work %v: served urgent %.3f, ordinary %.3f, by zone %.3f; refused %d, after detection %d; late %d; use %.2f, at most %.2f; tries %d",
				work, c.share(1), c.share(0), c.zones(), c.refused, c.refusedDetected, c.late, mean(c.uses), slices.Max(c.uses), c.tries)
		}
		require.Greater(t, without.refusedDetected, 1000, "the burst fills the queues")
		require.Less(t, without.share(1), 0.95)
		require.Zero(t, with.refusedDetected)
		require.Less(t, slices.Max(with.uses), 3.5, "the limit of ordinary flows is 3")
		require.Less(t, with.refused, without.refused/100)
		requireFair(t, with)
		require.Greater(t, with.share(1), 0.99)
		require.Greater(t, with.all(), 0.8, "the capacity suffices for 0.83")
		require.Zero(t, with.late)
	}
}

// Guards against callers who are served worse because their zone has 2.4 times the load of others: with
// the limit of each balancer, only these were rejected.
func TestZoneWithMoreLoadIsServedAlike(t *testing.T) {
	for _, load := range []float64{ordinaryLoad, 0.25} {
		c := newReplayOf(1, 20*time.Millisecond, []zone{{28, 1 / 4.4}, {28, 1 / 4.4}, {28, 2.4 / 4.4}}).run(load, burstMultiple, burstLength)
		t.Logf("load %.2f: served urgent %.3f, ordinary %.3f, by zone %.3f", load*burstMultiple, c.share(1), c.share(0), c.zones())
		requireFair(t, c)
	}
}

// requireFair checks the invariants that hold in every replay.
func requireFair(t require.TestingT, c counts) {
	require.GreaterOrEqual(t, c.share(1), c.share(0))
	require.Less(t, slices.Max(c.zones())-slices.Min(c.zones()), 0.05, "%v", c.zones())
	require.Zero(t, c.rejectedBelowHalf)
	require.Zero(t, c.rejectedRecovered, "rejections and refusals a second after the burst")
}

// Guards against an overload that sustains itself or wastes capacity because work is measured from
// responses, which take longer while queues are full, or because it is wrong by any factor.
func TestWrongWorkNeitherSustainsOverloadNorWastesCapacity(t *testing.T) {
	for _, factor := range []float64{0, 0.01, 0.3, 3, 30, 1000} {
		r := newReplay(1, 20*time.Millisecond)
		r.workFactor = factor
		c := r.run(ordinaryLoad, burstMultiple, burstLength)
		used := float64(c.answered) / burstLength.Seconds() / r.capacity()
		t.Logf("work times %v: %.3f of the capacity used, use %.2f, at most %.2f, refused after detection %d, served %.3f", factor, used, mean(c.uses), slices.Max(c.uses), c.refusedDetected, c.all())
		require.Greater(t, used, 0.9)
		require.Zero(t, c.refusedDetected)
		requireFair(t, c)
	}
}

// Guards against a service that stays overloaded after a burst because its ordinary load is near the
// capacity: queues that the burst filled, and the responses that they delay, must not cause further
// rejections, whose retries add to the load.
func TestServiceRecoversWithLittleFreeCapacity(t *testing.T) {
	for _, factor := range []float64{0, 1, 3} {
		r := newReplay(1, 20*time.Millisecond)
		r.workFactor = factor
		c := r.run(0.85, 2, burstLength)
		t.Logf("work times %v: urgent %.3f, ordinary %.3f, use %.2f, at most %.2f, rejected after recovery %d", factor, c.share(1), c.share(0), mean(c.uses), slices.Max(c.uses), c.rejectedRecovered)
		requireFair(t, c)
	}
}

// Guards against a service that stays overloaded because all views are lost in the middle of a
// burst: decisions are as without a view then, the queues fill, and later views must empty them.
func TestViewLostDuringBurst(t *testing.T) {
	r := newReplay(1, 20*time.Millisecond)
	r.lost = func(measured time.Time) bool {
		since := measured.Sub(epoch) - burstBegin
		return since >= time.Second && since < 3*time.Second
	}
	c := r.run(ordinaryLoad, burstMultiple, 5*time.Second)
	last := c.uses[len(c.uses)-25:]
	t.Logf("refused %d, at most %.2f, in the last half second %.2f", c.refused, slices.Max(c.uses), slices.Max(last))
	require.Greater(t, slices.Max(c.uses), 4.5, "without a view the queues fill")
	require.Less(t, slices.Max(last), 3.5)
	requireFair(t, c)
}

// Guards against unequal treatment of priorities and zones, rejections while half of the slots are
// free, and an overload that outlasts its burst, under random loads and views that are lost, late
// and overtaken by later ones.
func TestInvariantsUnderRandomLoadsAndViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplay(rapid.Uint64().Draw(t, "seed"), time.Duration(rapid.IntRange(10, 40).Draw(t, "work"))*time.Millisecond)
		r.upstreams = r.upstreams[:40]
		loss, lateness := rapid.Float64Range(0, 0.5).Draw(t, "loss"), rapid.IntRange(0, 200).Draw(t, "lateness")
		r.lost = func(time.Time) bool { return r.random.Float64() < loss }
		r.late = func() time.Duration { return time.Duration(r.random.IntN(lateness+1)) * time.Millisecond }
		load, multiple := rapid.Float64Range(0.05, 0.5).Draw(t, "load"), rapid.Float64Range(1, 8).Draw(t, "multiple")
		c := r.run(load, min(multiple, 3/load), time.Second)
		if multiple*load < 0.4 {
			require.Zero(t, c.rejectedThrice+c.refused)
			require.Equal(t, c.offered[0]+c.offered[1], c.tries, "nothing is rejected below half use")
		}
		requireInvariants(t, c)
	})
}

// requireInvariants is requireFair for short random replays: the shares of a few hundred callers
// vary by chance.
func requireInvariants(t require.TestingT, c counts) {
	require.GreaterOrEqual(t, c.share(1), c.share(0)-0.02)
	require.Less(t, slices.Max(c.zones())-slices.Min(c.zones()), 0.12, "%v", c.zones())
	require.Zero(t, c.rejectedBelowHalf)
	require.Zero(t, c.rejectedRecovered)
}

// rejectedThriceAlone returns the share of callers that are rejected three times in a row at a
// constant rejected share.
func rejectedThriceAlone(rejectedShare float64, delay func() time.Duration, rejects choice) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	const callers = 50_000
	thrice := 0
	for range callers {
		now, a, rejections := epoch.Add(time.Duration(random.Int64N(int64(time.Hour)))), attempt{random.Uint32(), uint16(random.Uint32())}, 0
		for rejections < maxTries {
			d := zoneadmission.Decide(zoneadmission.Load{Occupied: 2.4 + 0.6*rejectedShare, Slots: 1}, zoneadmission.Flow{Number: flowHash(a.address, a.port)})
			if rejects != nil && !rejects(now, d, a) || rejects == nil && d.Admitted {
				break
			}
			rejections++
			now, a.port = now.Add(delay()), a.port+1
		}
		if rejections == maxTries {
			thrice++
		}
	}
	return share(thrice, callers)
}

// window rejects each caller during a window of its own, as long as the rejected share of rotation. It
// needs clocks that agree.
func window(now time.Time, d zoneadmission.Decision, a attempt) bool {
	const rotation = 300 * time.Millisecond
	start := xxhash.Sum64(binary.BigEndian.AppendUint32(nil, a.address)) % uint64(rotation)
	return float64((uint64(now.UnixNano())+start)%uint64(rotation)) < d.RejectedShare*float64(rotation)
}

// sameForSecond rejects the same callers during a second.
func sameForSecond(now time.Time, d zoneadmission.Decision, a attempt) bool {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, a.address), uint64(now.Unix())))
	return float64(hash>>11)/(1<<53) < d.RejectedShare
}

// Guards against a choice that rejects the same callers again and again. It compares the choice with
// one at random, with a window of each caller's own, and with one that stays the same for a second, at a
// constant rejected share and in a burst, where the rejected share follows from the choice.
func TestChoiceOfRejectedCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	choices := []struct {
		name    string
		rejects choice
	}{
		{"flow", nil},
		{"random", func(_ time.Time, d zoneadmission.Decision, _ attempt) bool { return random.Float64() < d.RejectedShare }},
		{"window", window},
		{"second", sameForSecond},
	}
	between := func(least, most time.Duration) func() time.Duration {
		return func() time.Duration { return least + time.Duration(random.Int64N(int64(most-least)+1)) }
	}
	delays := []struct {
		name  string
		delay func() time.Duration
		// windowIsBetter is whether retries come late enough for the window.
		windowIsBetter bool
	}{
		{"5 to 100 ms", between(5*time.Millisecond, 100*time.Millisecond), false},
		{"5 to 12 ms", between(5*time.Millisecond, 12*time.Millisecond), false},
		{"50 to 100 ms", between(50*time.Millisecond, 100*time.Millisecond), true},
	}
	for _, x := range delays {
		for _, rejected := range []float64{0.33, 0.5, 0.66} {
			thrice := map[string]float64{}
			for _, c := range choices {
				thrice[c.name] = rejectedThriceAlone(rejected, x.delay, c.rejects)
			}
			t.Logf("retries after %s, rejected share %.2f: three times %v", x.name, rejected, thrice)
			require.InDelta(t, rejected*rejected*rejected, thrice["flow"], 0.01)
			require.Less(t, thrice["flow"], thrice["second"])
			require.Equal(t, x.windowIsBetter, thrice["window"] < thrice["flow"])
		}
		const seeds, load = 2, 0.13
		for _, c := range choices {
			served, thrice, tries, offered := 0.0, 0, 0, 0
			for seed := range uint64(seeds) {
				r := newReplay(seed, 20*time.Millisecond)
				r.rejects, r.retryDelay = c.rejects, x.delay
				n := r.run(load, burstMultiple, 2*time.Second)
				served += n.all() / seeds
				thrice += n.rejectedThrice
				tries += n.tries
				offered += n.offered[0] + n.offered[1]
				require.Zero(t, n.rejectedRecovered)
			}
			t.Logf("retries after %s, load %.2f, %s: served %.3f, three times %.4f, tries %.3f", x.name, load*burstMultiple, c.name, served, share(thrice, offered), share(tries, offered))
		}
	}
}
