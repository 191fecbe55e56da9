package uneven_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/uneven"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	upstreams, balancers = 120, 33
	perUpstream          = 12
	batchInterval        = 250 * time.Millisecond
)

// load reports the answers of upstreams in one zone, each of which sends answers at the same rate.
type load struct {
	random   *rand.Rand
	detector *uneven.Detector
	now      time.Time
	batch    uint64
	// upstreams is how many upstreams answer; rate is how many answers each sends in a second.
	upstreams int
	rate      float64
	// deliver receives each report.
	deliver func(now time.Time, r evidence.Report)
}

func newLoad(seed uint64) *load {
	l := &load{
		random: rand.New(rand.NewPCG(seed, 1)), detector: uneven.New(), now: epoch,
		upstreams: upstreams, rate: perUpstream,
	}
	l.deliver = func(now time.Time, r evidence.Report) { l.detector.Record(now, r) }
	return l
}

// run reports answers for a time; short returns the probability that an upstream's answer is short.
func (l *load) run(d time.Duration, short func(cookie uint32) float64) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(batchInterval)
		l.batch++
		for _, r := range l.reports(short) {
			l.deliver(l.now, r)
		}
		l.detector.Evaluate(l.now)
	}
}

func (l *load) reports(short func(cookie uint32) float64) []evidence.Report {
	reports := make([]evidence.Report, balancers)
	for b := range reports {
		reports[b] = evidence.Report{From: fmt.Sprint(b), Batch: l.batch, Answers: []evidence.Answers{{
			Service: "orders", Upstreams: uint32(l.upstreams), Zones: []evidence.ZoneAnswers{{Zone: "a", Slots: uint32(2 * l.upstreams)}},
		}}}
	}
	weights := l.weights()
	for cookie := range uint32(l.upstreams) {
		weight := 1.0
		if w, reduced := weights[cookie+1]; reduced {
			weight = w
		}
		expected := l.rate * weight * batchInterval.Seconds()
		n := int(expected)
		if l.random.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			c := evidence.Count{Cookie: cookie + 1, Total: 1, Slots: 2}
			if l.random.Float64() < short(cookie+1) {
				c.Short = 1
			}
			a := &reports[l.random.IntN(balancers)].Answers[0]
			a.Total += c.Total
			a.Short += c.Short
			a.Zones[0].Counts = append(a.Zones[0].Counts, c)
		}
	}
	return reports
}

func (l *load) weights() map[uint32]float64 {
	out := map[uint32]float64{}
	for _, r := range l.detector.Reduced() {
		out[r.Cookie] = math.Exp2(-float64(r.Halvings))
	}
	return out
}

func always(p float64) func(uint32) float64 { return func(uint32) float64 { return p } }

// firstQuarter is the load of which the first quarter of the upstreams rejects 45 %.
func firstQuarter(cookie uint32) float64 {
	if cookie <= upstreams/4 {
		return 0.45
	}
	return 0.005
}

// A quarter of the upstreams rejects 45 % of its requests for 7 s: each of 33 balancers sees too few
// answers of one upstream, and callers are rejected throughout.
func TestQuarterOfUpstreamsRejecting(t *testing.T) {
	for seed := range uint64(10) {
		l := newLoad(seed)
		l.run(5*time.Second, always(0.005))
		require.Empty(t, l.weights())
		l.run(7*time.Second, firstQuarter)
		found := l.weights()
		t.Logf("seed %d: %d upstreams reduced", seed, len(found))
		wrong := 0
		for cookie := range found {
			if cookie > upstreams/4 {
				wrong++
			}
		}
		require.GreaterOrEqual(t, len(found)-wrong, upstreams/4*9/10)
		require.LessOrEqual(t, wrong, 1)
		l.run(5*time.Second, always(0.005))
		even := 0.0
		for cookie := range uint32(upstreams / 4) {
			w, reduced := l.weights()[cookie+1]
			if !reduced {
				w = 1
			}
			even += w
		}
		t.Logf("seed %d: mean weight 5 s after the end %.3f", seed, even/(upstreams/4))
		require.GreaterOrEqual(t, even, 0.95*upstreams/4)
	}
}

// The fault lasts two minutes. At a sixteenth of its flows an upstream has one short answer in the age of
// evidence. When the bound on one balancer's evidence also applied to acceptance, that answer did not
// count, and up to half of the upstreams got their flows back while they rejected.
func TestLastingFaultStaysReduced(t *testing.T) {
	for seed := range uint64(4) {
		l := newLoad(seed)
		l.run(8*time.Second, firstQuarter)
		worst := 0.0
		for range 28 {
			l.run(4*time.Second, firstQuarter)
			weight := float64(upstreams / 4)
			for cookie, w := range l.weights() {
				if cookie <= upstreams/4 {
					weight -= 1 - w
				}
			}
			worst = max(worst, weight/(upstreams/4))
		}
		t.Logf("seed %d: mean weight at most %.3f", seed, worst)
		require.LessOrEqual(t, worst, 0.2)
	}
}

// If 2 % of all answers are short, upstreams would lose their flows without a fault. The error rate is
// 0.001 for each test, and a test that accepts takes at least 11 answers.
func TestFewShortAnswersFindNothing(t *testing.T) {
	l := newLoad(1)
	found := uint64(0)
	for range 84 {
		before := l.detector.Version()
		l.run(time.Second, always(0.02))
		if len(l.weights()) > 0 {
			found += l.detector.Version() - before
		}
	}
	tests := 84.0 * upstreams * perUpstream / 11
	t.Logf("%d changes of weights in %d s of upstream time", found, 84*upstreams)
	require.LessOrEqual(t, float64(found), 0.001*tests)
}

// In a burst all upstreams reject. If some were taken out, the others would reject more. Of the few
// upstreams that reject most by chance, no more may be found than the error rate of a test allows.
func TestRejectionsByAllUpstreamsFindNothing(t *testing.T) {
	for _, share := range []float64{0.1, 0.2, 0.35, 0.5, 0.7, 0.9} {
		sum := 0
		for seed := range uint64(10) {
			l := newLoad(seed + 100)
			l.run(5*time.Second, always(0.005))
			most := 0
			for range 10 {
				l.run(time.Second, always(share))
				most = max(most, len(l.weights()))
			}
			require.LessOrEqual(t, most, 2, "share %v, seed %d", share, seed)
			sum += most
		}
		t.Logf("share %.2f: %d findings in ten bursts of 10 s", share, sum)
		// A test that accepts takes 20 answers or less.
		require.LessOrEqual(t, float64(sum), 0.001*10*10*upstreams*perUpstream/20)
	}
}

// A service's only upstream would get the same flows at any weight.
func TestOnlyUpstreamKeepsItsWeight(t *testing.T) {
	l := newLoad(3)
	l.upstreams, l.rate = 1, 200
	l.run(10*time.Second, always(0.5))
	require.Empty(t, l.weights())
}

// A balancer that takes all answers of an upstream for short ones would take the upstream's flows.
func TestOneBalancerReducesNothing(t *testing.T) {
	l := newLoad(4)
	l.deliver = func(now time.Time, r evidence.Report) {
		if r.From == "0" {
			a := &r.Answers[0]
			a.Total, a.Short, a.Upstreams = a.Total+1_000_000, a.Short+1_000_000, 1_000_000
			a.Zones[0].Slots = 1_000_000
			for cookie := range uint32(upstreams) {
				a.Zones[0].Counts = append(a.Zones[0].Counts, evidence.Count{Cookie: cookie + 1, Total: 1000, Short: 1000, Slots: 1})
			}
		}
		l.detector.Record(now, r)
	}
	l.run(20*time.Second, always(0))
	require.Empty(t, l.weights())
}

// The evaluating voter is killed. Its successor has no evidence and must not repeat old findings.
func TestSuccessorStartsWithoutEvidence(t *testing.T) {
	l := newLoad(5)
	l.run(5*time.Second, firstQuarter)
	require.NotEmpty(t, l.weights())
	l.detector = uneven.New()
	l.detector.Evaluate(l.now)
	require.Empty(t, l.weights())
	l.run(4*time.Second, firstQuarter)
	require.GreaterOrEqual(t, len(l.weights()), upstreams/4*8/10, "the successor finds them anew")
}

// A restarted upstream has another cookie. It must not inherit the weight of its earlier instance.
func TestRestartedUpstreamStartsAtFullWeight(t *testing.T) {
	l := newLoad(6)
	l.run(5*time.Second, firstQuarter)
	require.NotContains(t, l.weights(), uint32(1000))
	l.detector.Record(l.now, evidence.Report{From: "0", Batch: l.batch + 1, Answers: []evidence.Answers{{
		Service: "orders", Total: 1, Upstreams: upstreams, Zones: []evidence.ZoneAnswers{{Zone: "a", Slots: 2 * upstreams, Counts: []evidence.Count{{Cookie: 1000, Total: 1, Slots: 2}}}},
	}}})
	l.detector.Evaluate(l.now)
	require.NotContains(t, l.weights(), uint32(1000))
}

// An upstream that gets no flows sends no evidence, and would stay reduced forever.
func TestWeightRecoversWithoutEvidence(t *testing.T) {
	l := newLoad(7)
	l.run(5*time.Second, firstQuarter)
	require.NotEmpty(t, l.weights())
	for range 13 * 4 {
		l.now = l.now.Add(batchInterval)
		l.detector.Evaluate(l.now)
	}
	require.Empty(t, l.weights())
}

// A single upstream at a sixteenth of its flows answers too rarely for the test to accept within the age
// of evidence, and would stay reduced forever. It must stay reduced while it rejects.
func TestSingleUpstreamRecovers(t *testing.T) {
	for seed := range uint64(5) {
		l := newLoad(seed)
		l.upstreams = 6
		l.run(2*time.Second, always(0))
		restored := 0
		for range 60 {
			l.run(time.Second, func(cookie uint32) float64 { return map[uint32]float64{1: 0.9}[cookie] })
			if len(l.weights()) == 0 {
				restored++
			}
		}
		t.Logf("seed %d: at full weight in %d of 60 seconds", seed, restored)
		require.LessOrEqual(t, restored, 6)
		l.run(12*time.Second, always(0))
		require.Empty(t, l.weights())
	}
}

// Reports are lost, late and duplicated. Counted twice, or in any order, they must never reduce more
// than a third of a zone's slots, and weights are 1 to 1/16.
func TestReductionStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad(rapid.Uint64().Draw(t, "seed"))
		l.upstreams = rapid.IntRange(1, 30).Draw(t, "upstreams")
		bad := rapid.IntRange(0, l.upstreams).Draw(t, "bad")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		lost := rapid.Float64Range(0, 0.5).Draw(t, "lost")
		duplicated := rapid.Float64Range(0, 0.5).Draw(t, "duplicated")
		var late []evidence.Report
		l.deliver = func(now time.Time, r evidence.Report) {
			switch {
			case l.random.Float64() < lost:
				late = append(late, r)
			case l.random.Float64() < duplicated:
				l.detector.Record(now, r)
			}
			l.detector.Record(now, r)
			if len(late) > 5 {
				l.detector.Record(now, late[0])
				late = late[1:]
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			l.run(batchInterval, func(cookie uint32) float64 {
				if int(cookie) <= bad {
					return share
				}
				return 0.02
			})
			all := l.detector.Reduced()
			require.LessOrEqual(t, 3*len(all), l.upstreams)
			for _, r := range all {
				require.Contains(t, []uint8{1, 2, 3, 4}, r.Halvings)
			}
		}
	})
}

// A report that arrives twice would double the evidence, so that three short answers count as six.
func TestDuplicatesAreNotCounted(t *testing.T) {
	once, twice := newLoad(8), newLoad(8)
	twice.deliver = func(now time.Time, r evidence.Report) {
		twice.detector.Record(now, r)
		twice.detector.Record(now, r)
	}
	for range 30 {
		once.run(batchInterval, firstQuarter)
		twice.run(batchInterval, firstQuarter)
		require.Equal(t, once.detector.Reduced(), twice.detector.Reduced())
	}
}

// A voter evaluates ten times a second. With 10,000 upstreams in one service, a call must take less
// than 1 ms on average, 1 % of a core.
func BenchmarkEvaluate(b *testing.B) {
	l := newLoad(9)
	l.upstreams, l.rate = 10_000, 4
	reports := l.reports(always(0.02))
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%5 == 0 {
			b.StopTimer()
			l.batch++
			for _, r := range reports {
				r.Batch = l.batch
				l.detector.Record(l.now, r)
			}
			b.StartTimer()
		}
		l.now = l.now.Add(100 * time.Millisecond)
		l.detector.Evaluate(l.now)
	}
}

// A report that holds nonsense must neither stop a voter nor lift the bounds.
func FuzzRecord(f *testing.F) {
	b, err := cbor.Marshal(newLoad(1).reports(firstQuarter)[:2])
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reports []evidence.Report
		if cbor.Unmarshal(data, &reports) != nil {
			return
		}
		d := uneven.New()
		for n, r := range reports {
			now := epoch.Add(time.Duration(n) * batchInterval)
			d.Record(now, r)
			d.Evaluate(now)
			for _, x := range d.Reduced() {
				require.Contains(t, []uint8{1, 2, 3, 4}, x.Halvings)
			}
		}
		d.Evaluate(epoch.Add(time.Hour))
	})
}
