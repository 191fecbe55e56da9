package virtual_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/standin/virtual"
)

func TestEventsRunInOrder(t *testing.T) {
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := virtual.Time{Now: epoch}
	var ran []int
	v.After(3*time.Second, func() { ran = append(ran, 3) })
	v.After(time.Second, func() {
		ran = append(ran, 1)
		v.After(time.Second, func() { ran = append(ran, 2) })
	})
	v.Run(epoch.Add(2 * time.Second))
	require.Equal(t, []int{1, 2}, ran)
	require.Equal(t, epoch.Add(2*time.Second), v.Now)
	v.Run(epoch.Add(time.Minute))
	require.Equal(t, []int{1, 2, 3}, ran)
}
