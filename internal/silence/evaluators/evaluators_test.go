package evaluators_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/silence/accrual"
	"wasabideal/internal/silence/evaluators"
	"wasabideal/internal/silence/evidence"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func voters(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.0.%d:7720", i))
	}
	return out
}

// Of 430 unresponsive upstreams, each voter reported the same 64 to balancers. The others were
// never reported.
func TestAllOfManyUnresponsiveUpstreamsAreReported(t *testing.T) {
	const failed = 430
	all := map[string]*accrual.Detector{}
	for _, v := range voters(25) {
		all[v] = accrual.New()
	}
	for id := range uint64(failed) {
		for packet := range 4 {
			from := fmt.Sprint("balancer ", packet%2)
			for v, events := range evaluators.Assign(voters(25), []evidence.Event{{Incarnation: id + 1, Zone: fmt.Sprint("z", id%5), Weight: 5}}) {
				for _, e := range events {
					all[v].Record(epoch, from, e)
				}
			}
		}
	}
	reported := map[uint64]int{}
	for _, a := range all {
		a.Evaluate(epoch, 20, 0)
		a.Evaluate(epoch.Add(time.Second), 20, 0)
		for _, d := range a.Suspicions(epoch.Add(time.Second)) {
			if d.Unresponsive && d.Incarnation != 0 {
				reported[d.Incarnation]++
			}
		}
	}
	require.Len(t, reported, failed)
	for _, n := range reported {
		require.LessOrEqual(t, n, 2)
	}
}

func TestLivenessReportsGoToAllVoters(t *testing.T) {
	shares := evaluators.Assign(voters(5), []evidence.Event{{Incarnation: 1, Answered: true}, {Incarnation: 2}})
	missed := 0
	require.Len(t, shares, 5)
	for _, events := range shares {
		require.True(t, events[0].Answered)
		missed += len(events) - 1
	}
	require.Equal(t, 2, missed)
}

func TestSingleParentReceivesAllEvents(t *testing.T) {
	events := []evidence.Event{{Incarnation: 1}, {Incarnation: 2}, {Incarnation: 3, Answered: true}}
	require.Equal(t, map[string][]evidence.Event{"parent": events}, evaluators.Assign([]string{"parent"}, events))
}

// The upstreams of a service are compared with each other. If their counts went to different voters,
// each would compare a part, and reduce a third of the slots on its own.
func TestCountsOfAServiceGoToTheSameVoters(t *testing.T) {
	answers := []evidence.Answers{{Service: "orders", Total: 1}, {Service: "notes", Total: 2}}
	all := evaluators.AssignAnswers(voters(5), answers)
	received := map[string]int{}
	for _, share := range all {
		for _, a := range share {
			received[a.Service]++
		}
	}
	require.Equal(t, map[string]int{"orders": 2, "notes": 2}, received)
	require.Equal(t, all, evaluators.AssignAnswers(voters(5), answers))
	require.Equal(t, map[string][]evidence.Answers{"parent": answers}, evaluators.AssignAnswers([]string{"parent"}, answers))
}
