package cookie_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/daemon/cookie"
)

// retransmitTimeout is how long a caller waits before it retransmits an opening.
const retransmitTimeout = 200 * time.Millisecond

// blockingCodec blocks the balancer while the mutex is held.
type blockingCodec struct {
	jsonCodec
	blocked *sync.Mutex
}

func (s blockingCodec) Decode(b []byte) (router.Packet, error) {
	s.blocked.Lock()
	defer s.blocked.Unlock()
	return s.jsonCodec.Decode(b)
}

// An opening waits in the socket queue of a balancer without CPU time, and its retransmission opens
// the flow through another balancer. When the first balancer read the opening, the open flow was reset.
func TestQueuedOpeningDoesNotResetFlow(t *testing.T) {
	voter, backend, caller := startVoter(t), listenUDP(t), listenUDP(t)
	blocked := &sync.Mutex{}
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Sources: []string{voter.Address()}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
		Codec: blockingCodec{blocked: blocked}, Clock: time.Now,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(context.Background())
	t.Cleanup(b.Kill)
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
	opening := router.Packet{Opening: true, Address: netip.MustParseAddrPort("198.18.0.9:443")}

	blocked.Lock()
	send(t, caller, b, router.Packet{Cookie: 1})
	time.Sleep(retransmitTimeout / 2)
	send(t, caller, b, opening)
	time.Sleep(2 * retransmitTimeout)
	blocked.Unlock()
	_, reset := receive(caller, 300*time.Millisecond)
	require.False(t, reset, "a retransmission may have opened the flow")

	opening.Copy = 1
	send(t, caller, b, opening)
	_, reset = receive(caller, 300*time.Millisecond)
	require.False(t, reset, "the first opening may have opened the flow through another balancer")

	opening.Copy = 0
	require.Eventually(t, func() bool {
		send(t, caller, b, opening)
		_, reset := receive(caller, 300*time.Millisecond)
		return reset
	}, 20*time.Second, time.Millisecond, "an opening that did not wait must be rejected at once")
}
