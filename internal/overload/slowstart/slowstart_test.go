package slowstart_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/slowstart"
)

// In any window of one second an upstream gets at most its rate from one balancer, and at
// most one and a half times its rate from two balancers.
func TestNoWindowExceedsRate(t *testing.T) {
	for _, rate := range []float64{1, 2, 6, 12, 100} {
		var w slowstart.Window
		var taken []time.Time
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for i := range 20_000 {
			now = now.Add(time.Duration(i%7) * time.Millisecond / 2)
			if w.Take(now, rate) {
				taken = append(taken, now)
			}
		}
		require.NotEmpty(t, taken)
		for i := range taken {
			flows := 0
			for _, at := range taken[i:] {
				if at.Sub(taken[i]) <= time.Second {
					flows++
				}
			}
			require.LessOrEqual(t, float64(flows), rate)
			require.LessOrEqual(t, 2*float64(flows), max(1.5*rate, 2))
		}
		require.Greater(t, float64(len(taken)), 0.45*rate*now.Sub(taken[0]).Seconds(), "the rate is used")
	}
}
