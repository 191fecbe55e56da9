package virtual_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/standin/virtual"
)

func TestEventsRunInOrder(t *testing.T) {
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := virtual.Clock{Now: epoch}
	var ran []int
	v.AfterFunc(3*time.Second, func() { ran = append(ran, 3) })
	v.AfterFunc(time.Second, func() {
		ran = append(ran, 1)
		v.AfterFunc(time.Second, func() { ran = append(ran, 2) })
	})
	v.RunUntil(epoch.Add(2 * time.Second))
	require.Equal(t, []int{1, 2}, ran)
	require.Equal(t, epoch.Add(2*time.Second), v.Now)
	v.RunUntil(epoch.Add(time.Minute))
	require.Equal(t, []int{1, 2, 3}, ran)
}
