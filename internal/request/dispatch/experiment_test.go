package dispatch_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/request/dispatch"
	"wasabideal/internal/request/slotassignment"
)

// hop is the one-way latency between a balancer and an upstream.
var hop = flag.Duration("hop", 1500*time.Microsecond, "latency of the comparison")

var experiment = flag.Bool("experiment", false, "print the comparison with baselines")

const (
	balancers       = 9
	slots           = 2
	serviceTime     = 50 * time.Millisecond
	requestTimeout  = time.Second
	defaultLifetime = 60 * time.Second
)

// policy schedules the requests of one balancer. It is this package's Dispatcher or a baseline.
type policy interface {
	offer(now time.Time, id uint64, deadline time.Time) []dispatch.Decision
	done(now time.Time, name string, r dispatch.Result, took time.Duration) []dispatch.Decision
	retry(now time.Time, id uint64, deadline time.Time, avoid []string) []dispatch.Decision
	tick(now time.Time) []dispatch.Decision
	targets(ts []dispatch.Target)
}

type scheduler struct{ d *dispatch.Dispatcher }

func (s scheduler) offer(now time.Time, id uint64, deadline time.Time) []dispatch.Decision {
	return s.d.Offer(now, dispatch.Request{ID: id, Deadline: deadline})
}

func (s scheduler) done(now time.Time, name string, r dispatch.Result, took time.Duration) []dispatch.Decision {
	return s.d.Done(now, name, r, took)
}

func (s scheduler) retry(now time.Time, id uint64, deadline time.Time, avoid []string) []dispatch.Decision {
	return s.d.Retry(now, dispatch.Request{ID: id, Deadline: deadline, Avoid: avoid, Since: deadline.Add(-requestTimeout)})
}
func (s scheduler) tick(now time.Time) []dispatch.Decision { return s.d.Tick(now) }
func (s scheduler) targets(ts []dispatch.Target)           { s.d.SetTargets(ts) }

// simple is a baseline without a queue: it sends each request at once to the upstream
// that choose returns.
type simple struct {
	names       []string
	outstanding map[string]int
	choose      func(s *simple) string
	next        int
	random      *rand.Rand
}

func (s *simple) offer(_ time.Time, id uint64, _ time.Time) []dispatch.Decision {
	name := s.choose(s)
	s.outstanding[name]++
	return []dispatch.Decision{{ID: id, Target: name}}
}

func (s *simple) retry(now time.Time, id uint64, deadline time.Time, _ []string) []dispatch.Decision {
	return s.offer(now, id, deadline)
}

func (s *simple) done(_ time.Time, name string, _ dispatch.Result, _ time.Duration) []dispatch.Decision {
	s.outstanding[name]--
	return nil
}
func (s *simple) tick(time.Time) []dispatch.Decision { return nil }
func (s *simple) targets(ts []dispatch.Target) {
	s.names = s.names[:0]
	for _, t := range ts {
		s.names = append(s.names, t.Name)
	}
}

func random(s *simple) string { return s.names[s.random.IntN(len(s.names))] }

func roundRobin(s *simple) string {
	s.next++
	return s.names[s.next%len(s.names)]
}

func leastOutstanding(s *simple) string {
	best := s.names[s.random.IntN(len(s.names))]
	for _, n := range s.names {
		if s.outstanding[n] < s.outstanding[best] {
			best = n
		}
	}
	return best
}

// simulation is a simulated run of nine balancers and upstreams with two slots each.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	queue     tasks
	sequence  int
	policies  []policy
	upstreams []*backend
	result    totals
	deadlines map[uint64]time.Time
	avoid     map[uint64][]string
	arrived   map[uint64]time.Time
	attempts  map[uint64]int
	lifetime  time.Duration
}

type backend struct {
	name string
	// busy is the number of busy slots.
	busy      int
	slowdown  float64
	failing   bool
	removed   bool
	startedAt time.Time
	// busySeconds is the total busy time of all slots until the time since.
	busySeconds float64
	since       time.Time
}

type totals struct {
	offered, answered, notRun, unknown, sent int
	latencies                                []time.Duration
	// bySecond counts the responses per second of the run.
	bySecond map[int]int
}

type task struct {
	at       time.Time
	sequence int
	run      func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].sequence < t[j].sequence
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(upstreams int, build func(i int) policy) *simulation {
	w := &simulation{
		now: epoch, random: rand.New(rand.NewPCG(9, 9)), deadlines: map[uint64]time.Time{}, avoid: map[uint64][]string{},
		arrived: map[uint64]time.Time{}, attempts: map[uint64]int{}, lifetime: defaultLifetime,
	}
	w.result.bySecond = map[int]int{}
	for i := range upstreams {
		w.upstreams = append(w.upstreams, &backend{name: fmt.Sprintf("u%02d", i), slowdown: 1, since: epoch, startedAt: epoch.Add(-time.Hour)})
	}
	for i := range balancers {
		w.policies = append(w.policies, build(i))
	}
	w.updateTargets()
	return w
}

// updateTargets updates the upstreams and the slot assignment at all balancers.
func (w *simulation) updateTargets() {
	var names []string
	for i := range w.policies {
		names = append(names, fmt.Sprintf("b%d", i))
	}
	var ups []slotassignment.Upstream
	for _, u := range w.upstreams {
		if !u.removed {
			ups = append(ups, slotassignment.Upstream{Name: u.name, Slots: slots})
		}
	}
	h := slotassignment.Assign(ups, names)
	for i, p := range w.policies {
		var ts []dispatch.Target
		for _, u := range w.upstreams {
			if u.removed {
				continue
			}
			// Slow start: the share grows from 0.1 to 1 in the first ten seconds.
			share := math.Min(1, 0.1+0.9*w.now.Sub(u.startedAt).Seconds()/10)
			ts = append(ts, dispatch.Target{Name: u.name, Slots: slots, Share: share, AssignedSlots: h.Slots(names[i], u.name)})
		}
		p.targets(ts)
	}
}

func (w *simulation) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, task{at: w.now.Add(d), sequence: w.sequence, run: run})
}

// run simulates rate requests per second until lifetime has passed.
func (w *simulation) run(rate float64) {
	var id uint64
	var arrive func()
	arrive = func() {
		id++
		b := w.random.IntN(balancers)
		x := id
		w.result.offered++
		w.deadlines[x], w.arrived[x] = w.now.Add(requestTimeout), w.now
		w.deliver(b, w.policies[b].offer(w.now, x, w.deadlines[x]))
		w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	w.after(0, arrive)
	var tick func()
	tick = func() {
		for i, p := range w.policies {
			w.deliver(i, p.tick(w.now))
		}
		w.after(10*time.Millisecond, tick)
	}
	tick()
	for w.now.Sub(epoch) < w.lifetime {
		t := heap.Pop(&w.queue).(task)
		w.now = t.at
		t.run()
	}
}

func (w *simulation) deliver(b int, ds []dispatch.Decision) {
	for _, d := range ds {
		if d.Err != nil {
			w.result.notRun++
			continue
		}
		w.result.sent++
		begin := w.now
		w.after(*hop, func() { w.arrive(b, d, begin) })
	}
}

func (w *simulation) find(name string) *backend {
	i := slices.IndexFunc(w.upstreams, func(u *backend) bool { return u.name == name })
	return w.upstreams[i]
}

func (u *backend) addBusyTime(now time.Time) {
	u.busySeconds += float64(u.busy) * now.Sub(u.since).Seconds()
	u.since = now
}

func (w *simulation) arrive(b int, d dispatch.Decision, begin time.Time) {
	u := w.find(d.Target)
	switch {
	case u.failing:
		w.after(*hop, func() { w.finish(b, d, dispatch.Failed, begin) })
	case u.busy >= slots:
		w.after(*hop, func() { w.finish(b, d, dispatch.Shed, begin) })
	default:
		u.addBusyTime(w.now)
		u.busy++
		factor := u.slowdown
		// A cold upstream is four times slower.
		if w.now.Sub(u.startedAt) < 5*time.Second {
			factor *= 4
		}
		took := time.Duration(w.random.ExpFloat64() * factor * float64(serviceTime))
		w.after(took, func() {
			u.addBusyTime(w.now)
			u.busy--
			w.after(*hop, func() { w.finish(b, d, dispatch.Answered, begin) })
		})
	}
}

const maxAttempts = 24

func (w *simulation) finish(b int, d dispatch.Decision, r dispatch.Result, begin time.Time) {
	w.deliver(b, w.policies[b].done(w.now, d.Target, r, w.now.Sub(begin)))
	switch r {
	case dispatch.Answered:
		if w.now.After(w.deadlines[d.ID]) {
			w.result.unknown++
			return
		}
		w.result.answered++
		w.result.bySecond[int(w.now.Sub(epoch).Seconds())]++
		w.result.latencies = append(w.result.latencies, w.now.Sub(w.arrived[d.ID]))
	case dispatch.Failed:
		w.result.unknown++
	default:
		w.attempts[d.ID]++
		if w.attempts[d.ID] >= maxAttempts || w.now.After(w.deadlines[d.ID]) {
			w.result.notRun++
			return
		}
		w.avoid[d.ID] = []string{d.Target}
		w.deliver(b, w.policies[b].retry(w.now, d.ID, w.deadlines[d.ID], w.avoid[d.ID]))
	}
}

func (t *totals) percentile(p float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[min(int(p*float64(len(t.latencies))), len(t.latencies)-1)].Round(time.Millisecond)
}

// imbalance returns the busy time of the busiest upstream divided by the mean. Upstreams
// that are removed, failing or slow are not counted.
func (w *simulation) imbalance() float64 {
	most, sum, n := 0.0, 0.0, 0.0
	for _, u := range w.upstreams {
		if u.removed || u.failing || u.slowdown > 1 {
			continue
		}
		u.addBusyTime(w.now)
		most = max(most, u.busySeconds)
		sum += u.busySeconds
		n++
	}
	return most / (sum / n)
}

func newScheduler(i int) policy {
	return scheduler{dispatch.New(dispatch.Settings{SlotLimit: slots, QueueLimit: 50, RetryPercent: 10}, uint64(i))}
}

func baseline(choose func(*simple) string) func(int) policy {
	return func(i int) policy {
		return &simple{outstanding: map[string]int{}, choose: choose, random: rand.New(rand.NewPCG(uint64(i), 1))}
	}
}

var strategies = []struct {
	name string
	make func(int) policy
}{
	{"wasabideal", newScheduler},
	{"random", baseline(random)},
	{"round robin", baseline(roundRobin)},
	{"least outstanding", baseline(leastOutstanding)},
}

// disturb adds a cold start, a drain, a slow upstream and one that fails all requests.
func (w *simulation) disturb() {
	w.upstreams[0].slowdown = 3
	w.upstreams[1].failing = true
	w.after(20*time.Second, func() { w.upstreams[2].removed = true; w.updateTargets() })
	w.after(30*time.Second, func() { w.upstreams[2].removed, w.upstreams[2].startedAt = false, w.now; w.updateTargets() })
	for s := 31; s < 45; s++ {
		w.after(time.Duration(s)*time.Second, w.updateTargets)
	}
}

// TestComparison prints goodput and latency against baselines; run it with
// go test ./internal/request/dispatch -run Comparison -experiment -v.
func TestComparison(t *testing.T) {
	if !*experiment {
		t.Skip("pass -experiment")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "SCENE\tLOAD\tPOLICY\tGOODPUT\tP50\tP99\tP99.9\tNOTRUN\tUNKNOWN\tSENT PER REQUEST\tIMBALANCE")
	for _, scene := range []string{"quiet", "disturbed"} {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.1, 1.3} {
			for _, c := range strategies {
				w := newSimulation(15, c.make)
				if scene == "disturbed" {
					w.disturb()
				}
				capacity := 15 * slots / serviceTime.Seconds()
				w.run(load * capacity)
				r := &w.result
				share := func(n int) float64 { return float64(n) / float64(r.offered) }
				_, _ = fmt.Fprintf(out, "%s\t%.2f\t%s\t%.3f\t%s\t%s\t%s\t%.3f\t%.4f\t%.2f\t%.3f\n", scene, load, c.name, share(r.answered),
					r.percentile(0.5), r.percentile(0.99), r.percentile(0.999), share(r.notRun), share(r.unknown),
					float64(r.sent)/float64(r.offered), w.imbalance())
			}
			_ = out.Flush()
		}
	}
}

// For 20 s, ten of 15 upstreams (about 70 %) are removed and the other 30 % serve. Expired
// requests in the queues and retries would keep the upstreams busy beyond the 20 s, so goodput
// would stay low after the pool recovers.
func TestGoodputRecoversWithinFiveSeconds(t *testing.T) {
	w := newSimulation(15, newScheduler)
	setRemoved := func(removed bool) func() {
		return func() {
			for _, u := range w.upstreams[:10] {
				u.removed = removed
			}
			w.updateTargets()
		}
	}
	w.after(10*time.Second, setRemoved(true))
	w.after(30*time.Second, setRemoved(false))
	w.lifetime = 45 * time.Second
	rate := 0.8 * 15 * slots / serviceTime.Seconds()
	w.run(rate)
	require.GreaterOrEqual(t, float64(w.result.bySecond[36]), 0.9*rate)
	require.GreaterOrEqual(t, float64(w.result.bySecond[40]), 0.9*rate)
}

// One broken upstream of 15 returns errors at once. A selection by idle slots would send
// most requests to this upstream, because it always appears idle.
func TestFailingUpstreamAttractsNoRequests(t *testing.T) {
	w := newSimulation(15, newScheduler)
	w.upstreams[3].failing = true
	w.lifetime = 20 * time.Second
	w.run(300)
	require.Less(t, float64(w.result.unknown)/float64(w.result.offered), 0.03)
}
