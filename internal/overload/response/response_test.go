package response_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/response"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// upstreams returns upstreams with one recorded response each; 0 ms records none.
func upstreams(milliseconds ...int) []*response.Tracker {
	var all []*response.Tracker
	for _, ms := range milliseconds {
		tracker := &response.Tracker{}
		if ms > 0 {
			tracker.Record(epoch, time.Duration(ms)*time.Millisecond)
		}
		all = append(all, tracker)
	}
	return all
}

func slowness(all []*response.Tracker, now time.Time) []float64 {
	response.UpdateSlowness(now, all)
	var out []float64
	for _, tracker := range all {
		out = append(out, tracker.Slowness())
	}
	return out
}

func TestSlownessIsRatioToMedian(t *testing.T) {
	for _, c := range []struct {
		name string
		took []int
		want []float64
	}{
		{"single upstream", []int{500}, []float64{1}},
		{"no response", []int{0, 25}, []float64{1, 1}},
		{"similar", []int{20, 25, 30}, []float64{1, 1, 1}},
		{"one slow", []int{25, 150, 25}, []float64{1, 6, 1}},
		{"most slow", []int{25, 150, 150}, []float64{1, 1, 1}},
		{"bounded", []int{25, 2000, 25}, []float64{1, 10, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.InDeltaSlice(t, c.want, slowness(upstreams(c.took...), epoch), 0.01)
		})
	}
}

func TestMeanFollowsResponsesAndExpires(t *testing.T) {
	all := upstreams(25, 150, 25)
	for range 10 {
		all[1].Record(epoch, 25*time.Millisecond)
	}
	require.Equal(t, []float64{1, 1, 1}, slowness(all, epoch))
	all = upstreams(25, 150, 25)
	later := epoch.Add(3 * time.Second)
	require.Equal(t, []float64{1, 1, 1}, slowness(all, later), "the means have expired")
	all[0].Record(later, 25*time.Millisecond)
	all[1].Record(later, 25*time.Millisecond)
	require.Equal(t, []float64{1, 1, 1}, slowness(all, later), "the first response after a pause starts a new mean")
}
