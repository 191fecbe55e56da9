package collector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/zoneload/collector"
)

// A clock is set back before a restart, so that the new life is lower than the former one. The load of
// the restarted balancer was never included again.
func TestLowerLifeIsAcceptedAfterAWhile(t *testing.T) {
	c := collector.New()
	require.True(t, c.Add(epoch, load("one", 1000, 7, 10)))
	require.False(t, c.Add(epoch.Add(time.Second), load("one", 10, 1, 10)))
	later := epoch.Add(11 * time.Second)
	require.True(t, c.Add(later, load("one", 10, 300, 10)))
	require.Len(t, c.Zones(later), 1)
}
