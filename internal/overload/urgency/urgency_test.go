package urgency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/urgency"
)

// A service has routes of three priorities: the best one receives one probe a second, the middle
// one receives orders, and the last one receives feeds. When orders were urgent only if no route
// had a better priority, 55 % of the orders were rejected in a burst of six times the load. The
// feeds, which have half the value of orders, were served.
func TestRoutesWithoutDemandDoNotAffectUrgency(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var u urgency.Urgency
	require.True(t, u.Urgent(now, 3), "no better priority is known")
	for i := range 500 {
		now = now.Add(10 * time.Millisecond)
		u.Record(now, 1+i%2)
		if i%100 == 0 {
			u.Record(now, 0)
		}
	}
	require.True(t, u.Urgent(now, 0))
	require.True(t, u.Urgent(now, 1), "hardly any demand has a better priority")
	require.False(t, u.Urgent(now, 2))
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		u.Record(now, 2)
	}
	require.True(t, u.Urgent(now, 2), "the demand of better priorities has ended")
}
