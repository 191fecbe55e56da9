package reducer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFlowsAreBalancedAndSurvive(t *testing.T) {
	f := suezFleet(1)
	u := f.addUpstream(50, "orders", "Adabiya")
	f.openFlows(3000, "orders", 3*time.Second, time.Second)
	f.run(10 * time.Second)
	require.Equal(t, 3000, f.established)
	require.Zero(t, f.broken)
	require.Zero(t, f.misdelivered)
	require.NotEmpty(t, u.connections)
	require.LessOrEqual(t, f.imbalance("orders"), 1.25)
}
