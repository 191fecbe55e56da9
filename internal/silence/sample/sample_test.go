package sample_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/silence/accrual"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/sample"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func missed(incarnation uint64) evidence.Event {
	return evidence.Event{Incarnation: incarnation, Zone: "a", Age: 190 * time.Millisecond, Weight: 4.6}
}

func answered(incarnation uint64, age time.Duration) evidence.Event {
	return evidence.Event{Incarnation: incarnation, Zone: "a", Age: age, Answered: true}
}

// Some upstreams lose power, and each of 80 balancers reports ten unanswered packets for each of
// twenty upstreams. Without the limit, the reports overload the voters.
func TestFewReportsPerUpstreamAreForwarded(t *testing.T) {
	s := sample.New()
	forwarded := 0
	for b := range 80 {
		for u := range uint64(20) {
			for range 10 {
				forwarded += len(s.Filter(epoch, fmt.Sprint("b", b), []evidence.Event{missed(u + 1)}))
			}
		}
	}
	require.Equal(t, 20*6, forwarded)
	require.NotEmpty(t, s.Filter(epoch.Add(time.Second), "b1", []evidence.Event{missed(1)}), "events of the next window are forwarded")
}

func TestForwardedReportsSufficeAsEvidence(t *testing.T) {
	s, a := sample.New(), accrual.New()
	for _, from := range []string{"b1", "b1", "b1", "b1", "b2", "b2", "b3"} {
		for _, e := range s.Filter(epoch, from, []evidence.Event{missed(1)}) {
			a.Record(epoch, from, e)
		}
	}
	for now := epoch; now.Before(epoch.Add(300 * time.Millisecond)); now = now.Add(20 * time.Millisecond) {
		a.Evaluate(now, 40, 0)
	}
	for _, d := range a.Suspicions(epoch.Add(300 * time.Millisecond)) {
		require.Equal(t, d.Zone == "", d.Unresponsive, "the upstream is unresponsive, its zone is not")
	}
	require.Len(t, a.Suspicions(epoch), 2)
}

// Balancers receive responses of a live upstream one after another, and packets to it are lost in
// between. If the later liveness reports were dropped, its flows would be reset.
func TestLaterLivenessReportsAreForwarded(t *testing.T) {
	s := sample.New()
	now := epoch
	for i := range 10 {
		now = epoch.Add(time.Duration(i) * 25 * time.Millisecond)
		require.Len(t, s.Filter(now, fmt.Sprint("b", i), []evidence.Event{answered(1, 0)}), 1)
	}
	require.Empty(t, s.Filter(now, "b1", []evidence.Event{answered(1, 5*time.Millisecond)}))
}

// A parent of a fleet's whole branch would fill its link with the counts of all balancers below it.
func TestForwardedCountsAreBounded(t *testing.T) {
	s := sample.New()
	report := func(n int) []evidence.Answers {
		return []evidence.Answers{{Service: "orders", Zones: []evidence.ZoneAnswers{{Zone: "a", Counts: make([]evidence.Count, n)}}}}
	}
	forwarded := 0
	for range 64 {
		if s.AllowAnswers(epoch, report(32)) {
			forwarded += 32
		}
	}
	require.Equal(t, 128, forwarded)
	require.True(t, s.AllowAnswers(epoch.Add(time.Second), report(32)))
	require.False(t, s.AllowAnswers(epoch.Add(2*time.Second), report(33)), "no balancer sends as many")
	require.False(t, s.AllowAnswers(epoch.Add(2*time.Second), nil))
}
