package accrual_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/silence/accrual"
	"wasabideal/internal/silence/evidence"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }

// missedWeight is the weight of an unanswered packet at a loss rate of one in a hundred.
const missedWeight = 4.6

func unanswered(incarnation uint64, weight float64) evidence.Event {
	return evidence.Event{Incarnation: incarnation, Zone: "a", Age: 200 * time.Millisecond, Weight: weight}
}

func answered(incarnation uint64, age time.Duration) evidence.Event {
	return evidence.Event{Incarnation: incarnation, Zone: "a", Age: age, Answered: true}
}

// suspicions encodes the suspected subjects: u is an upstream and z a zone; U and Z are
// unresponsive.
func suspicions(a *accrual.Detector, now time.Time) string {
	out := ""
	for _, d := range a.Suspicions(now) {
		name := "u"
		if d.Zone != "" {
			name = "z"
		}
		if d.Unresponsive {
			name = map[string]string{"u": "U", "z": "Z"}[name]
		}
		out += name
	}
	return out
}

// An upstream loses power, and each balancer sees one unanswered packet. Reports were not
// combined, and one packet is too little evidence, so requests waited until their deadlines.
func TestReportsOfSeveralBalancersAreCombined(t *testing.T) {
	a := accrual.New()
	a.Record(at(0), "b1", unanswered(1, missedWeight))
	require.Zero(t, a.Evaluate(at(0), 7, 0))
	require.Empty(t, suspicions(a, at(0)))
	a.Record(at(10), "b2", unanswered(1, missedWeight))
	require.Equal(t, at(60), a.Evaluate(at(10), 7, 0))
	require.Contains(t, suspicions(a, at(10)), "u", "responses of the upstream are requested from balancers")
	a.Record(at(20), "b3", unanswered(1, missedWeight))
	a.Evaluate(at(20), 7, 0)
	require.NotContains(t, suspicions(a, at(20)), "U", "the refutation timeout of the balancers has not passed")
	require.Equal(t, at(80), a.Evaluate(at(70), 7, 0))
	require.NotContains(t, suspicions(a, at(70)), "U", "the refutation timeout of the last packet has not passed")
	a.Evaluate(at(80), 7, 0)
	require.Contains(t, suspicions(a, at(80)), "U")
	require.Equal(t, 280*time.Millisecond, a.Suspicions(at(80))[len(a.Suspicions(at(80)))-1].Age)
	a.Evaluate(at(2000), 7, 0)
	require.Contains(t, suspicions(a, at(2000)), "U")
	a.Evaluate(at(2700), 7, 0)
	require.Empty(t, suspicions(a, at(2700)), "expires without new evidence")
}

// The link of a balancer drops all outgoing packets, so no upstream answers it. Flows to live
// upstreams must not be reset.
func TestReportsOfOneBalancerAreNotEnough(t *testing.T) {
	a := accrual.New()
	for i := range 20 {
		a.Record(at(i), "b1", unanswered(uint64(i%4), missedWeight))
		a.Evaluate(at(i), 7, 0)
	}
	a.Evaluate(at(200), 7, 0)
	require.NotContains(t, suspicions(a, at(200)), "U")
	require.NotContains(t, suspicions(a, at(200)), "Z")
	a.Evaluate(at(201), 1, 0)
	require.Contains(t, suspicions(a, at(201)), "U", "enough if no other balancer polls this voter")
}

func TestResponseDiscardsEarlierEvidence(t *testing.T) {
	a := accrual.New()
	for i, from := range []string{"b1", "b2", "b3", "b4"} {
		a.Record(at(i), from, unanswered(1, missedWeight))
	}
	a.Evaluate(at(5), 7, 0)
	require.True(t, a.IsSuspected(answered(1, 0)))
	a.Record(at(10), "b5", answered(1, 400*time.Millisecond))
	require.Contains(t, suspicions(a, at(10)), "u", "the response precedes the first unanswered packet")
	a.Record(at(20), "b5", answered(1, 0))
	require.Empty(t, suspicions(a, at(20)))
	require.False(t, a.IsSuspected(answered(1, 0)))
	a.Record(at(30), "b1", unanswered(1, missedWeight))
	a.Record(at(30), "b2", unanswered(1, missedWeight))
	a.Evaluate(at(100), 7, 0)
	require.Empty(t, suspicions(a, at(100)), "packets sent before the response are ignored")
}

// At a loss rate of one in three, three unanswered packets in a row are common. Flows on such
// links must not be reset.
func TestLossyLinksNeedMoreEvidence(t *testing.T) {
	a := accrual.New()
	for i, from := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
		a.Record(at(i), from, unanswered(1, 1.1))
	}
	a.Evaluate(at(10), 7, 0)
	a.Evaluate(at(100), 7, 0)
	require.Empty(t, suspicions(a, at(100)))
}

// A zone is partitioned, and each of its upstreams has too few flows from other zones to be
// suspected alone. Requests to the zone waited until their deadlines.
func TestEvidenceOfAZoneIsCombined(t *testing.T) {
	a := accrual.New()
	for i := range 5 {
		a.Record(at(i), []string{"b1", "b2"}[i%2], unanswered(uint64(i), missedWeight))
	}
	a.Evaluate(at(5), 7, 0)
	a.Evaluate(at(100), 7, 0)
	require.Equal(t, "Z", suspicions(a, at(100)))
	a.Record(at(110), "b3", answered(9, 0))
	require.Empty(t, suspicions(a, at(110)), "one of its upstreams responds")
}

// Balancers that were stalled report packets after a later response has refuted the suspicion.
// Unless the response is kept, flows to a live zone are reset.
func TestPacketsSentBeforeAResponseAreIgnored(t *testing.T) {
	a := accrual.New()
	a.Record(at(0), "b1", unanswered(1, 2*missedWeight))
	a.Evaluate(at(0), 7, 0)
	a.Record(at(50), "b2", answered(1, 0))
	a.Evaluate(at(60), 7, 0)
	for i, from := range []string{"b1", "b2", "b3"} {
		late := unanswered(1, 2*missedWeight)
		late.Age = 600 * time.Millisecond
		a.Record(at(400+i), from, late)
	}
	a.Evaluate(at(410), 7, 0)
	require.Empty(t, suspicions(a, at(410)))
}

func TestRestartedUpstreamIsNotSuspected(t *testing.T) {
	a := accrual.New()
	for i, from := range []string{"b1", "b2", "b3"} {
		e := unanswered(1, missedWeight)
		e.Born = 100
		a.Record(at(i), from, e)
	}
	a.Evaluate(at(100), 7, 0)
	for _, d := range a.Suspicions(at(100)) {
		if d.Incarnation == 1 {
			require.Equal(t, uint64(100), d.Born)
		}
	}
}

// TestUpstreamThatAnswersIsNeverUnresponsive applies random reports of balancers, one of which
// receives a response at least once per refutation timeout.
func TestUpstreamThatAnswersIsNeverUnresponsive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := accrual.New()
		now, alive := epoch, epoch
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "pause")) * time.Millisecond)
			if now.Sub(alive) > 40*time.Millisecond {
				a.Record(now, "b0", answered(1, 0))
				alive = now
			}
			e := unanswered(1, rapid.Float64Range(0, 5).Draw(t, "weight"))
			e.Age = time.Duration(rapid.IntRange(180, 1500).Draw(t, "age")) * time.Millisecond
			a.Record(now, rapid.SampledFrom([]string{"b1", "b2", "b3"}).Draw(t, "from"), e)
			a.Evaluate(now, 4, 0)
			for _, d := range a.Suspicions(now) {
				require.False(t, d.Unresponsive)
			}
		}
	})
}

func TestSuspicionsAreBounded(t *testing.T) {
	a := accrual.New()
	for id := range uint64(500) {
		a.Record(at(0), "b1", unanswered(id+1, 2*missedWeight))
	}
	a.Evaluate(at(0), 7, 0)
	all := a.Suspicions(at(0))
	require.Len(t, all, 64)
	require.Equal(t, "a", all[0].Zone, "the zone is reported first")
}

// Uploads on links of 2 Mbit/s cause retransmissions all the time, and all balancers send
// liveness reports for each suspicion. These reports filled the links: one request in 250 was
// rejected, against one in 1,600 without suspicions.
func TestRefutedSuspicionsRaiseTheThreshold(t *testing.T) {
	a := accrual.New()
	raised := 0
	for n := range 200 {
		now := at(10 * n)
		a.Record(now, "b1", unanswered(uint64(n%20+1), missedWeight))
		a.Evaluate(now, 7, 0)
		for _, d := range a.Suspicions(now) {
			raised++
			a.Record(now, "b2", evidence.Event{Incarnation: d.Incarnation, Zone: d.Zone, Answered: true})
		}
	}
	require.Less(t, raised, 25, "69 if refutations do not raise the threshold")
	now := at(30_000)
	for i, from := range []string{"b1", "b2", "b3"} {
		a.Record(now.Add(time.Duration(i)*time.Millisecond), from, unanswered(1, missedWeight))
	}
	a.Evaluate(now.Add(5*time.Millisecond), 7, 0)
	a.Evaluate(now.Add(100*time.Millisecond), 7, 0)
	require.Contains(t, suspicions(a, now.Add(100*time.Millisecond)), "U", "the threshold is back to normal after half a minute")
}
