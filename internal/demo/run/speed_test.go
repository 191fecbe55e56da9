package run

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/daemon/control"
)

var speed = flag.Bool("speed", false, "measure the time until changes are active on nine balancers")

// TestChangeSpeed measures the propagation of changes with 3 voters that sync
// their disks and 9 balancers on loopback. Run it with
// go test ./internal/demo/run -run Speed -speed -v.
func TestChangeSpeed(t *testing.T) {
	if !*speed {
		t.Skip("pass -speed")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := newCluster(ctx, hclog.NewNullLogger())
	require.NoError(t, err)
	defer s.close()
	for i := range 9 {
		_, err := s.addBalancer(zones[i%3])
		require.NoError(t, err)
	}
	c := demoConfiguration()
	_, err = s.operator.Change(ctx, ledger.Change{ChangeKey: "first", Apply: &c})
	require.NoError(t, err)
	m := &meter{t: t, cluster: s, revision: 1}
	m.wait()
	m.report("100 sequential switches", m.measure(ctx, 100))
	begin := time.Now()
	for range 500 {
		m.change(ctx)
	}
	accepted := time.Since(begin)
	m.wait()
	fmt.Printf("500 changes without pause: accepted in %.2f s, active on all balancers %.3f s after the last\n", accepted.Seconds(), time.Since(begin).Seconds()-accepted.Seconds())
	leader := slices.IndexFunc(s.voters, func(c *control.Control) bool { return c.Voter().Report().Role == agreement.Leader })
	s.voters[leader].Stop()
	s.voters = slices.Delete(s.voters, leader, leader+1)
	m.report("the first switch after the leader stopped", m.measure(ctx, 1))
	m.report("100 switches with two voters", m.measure(ctx, 100))
}

type meter struct {
	t        *testing.T
	cluster  *cluster
	revision uint64
}

func (m *meter) change(ctx context.Context) {
	name := []string{"ordinary", "peak"}[m.revision%2]
	a, err := m.cluster.operator.Change(ctx, ledger.Change{
		ChangeKey: fmt.Sprintf("switch-%d", m.revision), ExpectRevision: m.revision, UsePreset: name, Who: "meter",
	})
	require.NoError(m.t, err)
	m.revision = a.Revision
}

func (m *meter) wait() {
	require.True(m.t, waitUntil(propagationLimit, func() bool {
		return lo.EveryBy(m.cluster.live(), func(b *balancer.Balancer) bool { return b.Configuration().Revision == m.revision })
	}))
}

func (m *meter) measure(ctx context.Context, n int) []time.Duration {
	var durations []time.Duration
	for range n {
		begin := time.Now()
		m.change(ctx)
		for !lo.EveryBy(m.cluster.live(), func(b *balancer.Balancer) bool { return b.Configuration().Revision == m.revision }) {
			time.Sleep(200 * time.Microsecond)
		}
		durations = append(durations, time.Since(begin))
	}
	return durations
}

func (m *meter) report(title string, durations []time.Duration) {
	slices.Sort(durations)
	fmt.Printf("%s: p50 %.4f s, p99 %.4f s, max %.4f s\n", title, durations[len(durations)/2].Seconds(),
		durations[len(durations)*99/100].Seconds(), durations[len(durations)-1].Seconds())
}
