package virtual_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/standin/virtual"
)

func TestEventsHappenInOrder(t *testing.T) {
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := virtual.Time{Now: epoch}
	var happened []int
	v.After(3*time.Second, func() { happened = append(happened, 3) })
	v.After(time.Second, func() {
		happened = append(happened, 1)
		v.After(time.Second, func() { happened = append(happened, 2) })
	})
	v.Run(epoch.Add(2 * time.Second))
	require.Equal(t, []int{1, 2}, happened)
	require.Equal(t, epoch.Add(2*time.Second), v.Now)
	v.Run(epoch.Add(time.Minute))
	require.Equal(t, []int{1, 2, 3}, happened)
}
