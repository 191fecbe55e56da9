package run

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A departure whose time came while its run was ending did not stop the upstream, and neither did the run, which then
// never ended.
func TestUpstreamThatDepartsAtTheEndOfARunIsStopped(t *testing.T) {
	r := &Run{stopped: map[uint64]bool{}, ended: true}
	u, err := r.startUpstream("127.0.0.1:0", "orders", "a")
	require.NoError(t, err)
	r.upstreams = append(r.upstreams, u)
	r.stopUpstream(u)
	r.close()
	_, open := <-u.done
	require.False(t, open)
}
