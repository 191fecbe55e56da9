package response_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/response"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// upstreams returns upstreams that answered once after some milliseconds.
func upstreams(milliseconds ...int) []*response.Response {
	var all []*response.Response
	for _, ms := range milliseconds {
		r := &response.Response{}
		if ms > 0 {
			r.Answered(epoch, time.Duration(ms)*time.Millisecond)
		}
		all = append(all, r)
	}
	return all
}

func slowness(all []*response.Response, now time.Time) []float64 {
	response.Compare(now, all)
	var out []float64
	for _, r := range all {
		out = append(out, r.Slowness())
	}
	return out
}

func TestSlownessIsThatBesideTheMiddle(t *testing.T) {
	for _, c := range []struct {
		name string
		took []int
		want []float64
	}{
		{"alone", []int{500}, []float64{1}},
		{"without an answer", []int{0, 25}, []float64{1, 1}},
		{"like the others", []int{20, 25, 30}, []float64{1, 1, 1}},
		{"one is slow", []int{25, 150, 25}, []float64{1, 6, 1}},
		{"most are slow", []int{25, 150, 150}, []float64{1, 1, 1}},
		{"bounded", []int{25, 2000, 25}, []float64{1, 10, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.InDeltaSlice(t, c.want, slowness(upstreams(c.took...), epoch), 0.01)
		})
	}
}

func TestMeanFollowsAnswersAndEndsWithThem(t *testing.T) {
	all := upstreams(25, 150, 25)
	for range 10 {
		all[1].Answered(epoch, 25*time.Millisecond)
	}
	require.Equal(t, []float64{1, 1, 1}, slowness(all, epoch))
	all = upstreams(25, 150, 25)
	later := epoch.Add(3 * time.Second)
	require.Equal(t, []float64{1, 1, 1}, slowness(all, later), "nothing was heard of it for long")
	all[0].Answered(later, 25*time.Millisecond)
	all[1].Answered(later, 25*time.Millisecond)
	require.Equal(t, []float64{1, 1, 1}, slowness(all, later), "the first answer after a pause counts alone")
}
