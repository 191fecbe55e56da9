package urgency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/urgency"
)

// Symptom: in a burst of six times the load 55 % of the orders were refused, while feeds,
// which are worth half as much, were served.
// Events: a service has routes of three priorities; those of the best one get a probe in a
// second.
// Cause: orders counted as urgent only if no route of the service had a better priority.
func TestRoutesWithoutDemandMakeNoOtherLessUrgent(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var u urgency.Urgency
	require.True(t, u.Urgent(now, 3), "nothing is known to be better")
	for i := range 500 {
		now = now.Add(10 * time.Millisecond)
		u.Note(now, 1+i%2)
		if i%100 == 0 {
			u.Note(now, 0)
		}
	}
	require.True(t, u.Urgent(now, 0))
	require.True(t, u.Urgent(now, 1), "hardly any is better")
	require.False(t, u.Urgent(now, 2))
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		u.Note(now, 2)
	}
	require.True(t, u.Urgent(now, 2), "those before it ask no more")
}
