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

// repeatAfter is how long a caller waits before it repeats an opening.
const repeatAfter = 200 * time.Millisecond

// stalling is a codec in which the balancer stands still while the lock is held.
type stalling struct {
	plain
	processor *sync.Mutex
}

func (s stalling) Decode(b []byte) (router.Packet, error) {
	s.processor.Lock()
	defer s.processor.Unlock()
	return s.plain.Decode(b)
}

// Guards against the reset of a flow that a copy of its opening has opened through another
// balancer while the first one waited in the queue of a balancer without a processor.
func TestOpeningThatWaitedInAQueueResetsNoFlow(t *testing.T) {
	voter, backend, caller := startVoter(t), listenUDP(t), listenUDP(t)
	processor := &sync.Mutex{}
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Sources: []string{voter.Address()}, Zone: "a", Token: "group", StopTimeout: 10 * time.Second,
		Codec: stalling{processor: processor}, Clock: time.Now,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(context.Background())
	t.Cleanup(b.Kill)
	publish(t, voter)
	announce(t, voter, addressOf(backend))
	require.Eventually(t, b.Ready, 20*time.Second, 5*time.Millisecond)
	opening := router.Packet{Opening: true, Address: netip.MustParseAddrPort("198.18.0.9:443")}

	processor.Lock()
	send(t, caller, b, router.Packet{Cookie: 1})
	time.Sleep(repeatAfter / 2)
	send(t, caller, b, opening)
	time.Sleep(2 * repeatAfter)
	processor.Unlock()
	_, reset := receive(caller, 300*time.Millisecond)
	require.False(t, reset, "a copy may have opened the flow")

	opening.Copy = 1
	send(t, caller, b, opening)
	_, reset = receive(caller, 300*time.Millisecond)
	require.False(t, reset, "the first one may have opened it through another balancer")

	opening.Copy = 0
	require.Eventually(t, func() bool {
		send(t, caller, b, opening)
		_, reset := receive(caller, 300*time.Millisecond)
		return reset
	}, 20*time.Second, time.Millisecond, "an opening that did not wait is rejected at once")
}
