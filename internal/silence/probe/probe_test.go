package probe_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/silence/probe"
)

var (
	suspect    = netip.MustParseAddrPort("10.0.0.1:80")
	references = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:80"), netip.MustParseAddrPort("10.0.0.3:80")}
)

// hosts maps addresses to the results of dialing them; other addresses never answer.
type hosts map[netip.AddrPort]error

func (h hosts) dial(ctx context.Context, address string) error {
	if err, answers := h[netip.MustParseAddrPort(address)]; answers {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts hosts
		want  probe.Outcome
	}{
		{"the host listens", hosts{suspect: nil}, probe.Accepted},
		{"no process listens", hosts{suspect: syscall.ECONNREFUSED}, probe.Refused},
		{"no answer, a reference accepts", hosts{references[1]: nil}, probe.Unanswered},
		{"no answer, a reference refuses", hosts{references[0]: syscall.ECONNREFUSED}, probe.Unanswered},
		{"no answer from any host", hosts{}, probe.Inconclusive},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.want, probe.New(time.Now, c.hosts.dial).Check(t.Context(), suspect, references))
		})
	}
}

func TestNoAnswerWithoutReferencesIsInconclusive(t *testing.T) {
	require.Equal(t, probe.Inconclusive, probe.New(time.Now, hosts{}.dial).Check(t.Context(), suspect, nil))
}

// The probing process stalls. That must not count as a host that does not answer.
func TestStalledProberIsInconclusive(t *testing.T) {
	var mu sync.Mutex
	offset := time.Duration(0)
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return time.Now().Add(offset)
	}
	dial := func(ctx context.Context, address string) error {
		mu.Lock()
		offset = time.Second
		mu.Unlock()
		return hosts{references[0]: nil}.dial(ctx, address)
	}
	started := false
	p := probe.New(func() time.Time {
		if !started {
			started = true
			return time.Now()
		}
		return clock()
	}, dial)
	require.Equal(t, probe.Inconclusive, p.Check(t.Context(), suspect, references))
}

// The process of an upstream waits for a CPU, while the kernel completes handshakes on its
// behalf. The upstream must not count as down.
func TestHostOfStalledProcessAccepts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	at := l.Addr().(*net.TCPAddr).AddrPort()
	require.Equal(t, probe.Accepted, probe.New(time.Now, probe.Dial).Check(t.Context(), at, references))
}
