package reducer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All balancers start within a second and have different views of the group. Flows that are
// opened meanwhile must not hang.
func TestFlowsOpenedWhileTheGroupFormsSurvive(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed)
		zones := []string{"Port Tawfik", "Adabiya", "Ismailia"}
		for i := range 6 {
			f.addNode(i, zones[i%3])
			f.run(time.Duration(f.random.IntN(100)) * time.Millisecond)
		}
		for i := range 9 {
			f.addUpstream(i, "orders", zones[i%3])
		}
		f.run(500 * time.Millisecond)
		f.openFlows(600, "orders", 3*time.Second, 400*time.Millisecond)
		f.run(20 * time.Second)
		require.Zero(t, f.broken, "seed %d", seed)
		require.Equal(t, 600, f.established)
	}
}
