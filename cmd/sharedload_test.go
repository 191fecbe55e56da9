package cmd_test

import (
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/cmd"
	"wasabideal/internal/control/agreement"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/daemon/cookie"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/operator/exit"
	"wasabideal/internal/zoneload/status"
)

// noCodec decodes no packet; these balancers get none.
type noCodec struct{}

func (noCodec) Decode([]byte) (router.Packet, error)                     { return router.Packet{}, io.EOF }
func (noCodec) Forward(buffer, _ []byte, _ router.Verdict) []byte        { return buffer }
func (noCodec) Reset(b []byte, p router.Packet) (netip.AddrPort, []byte) { return p.Caller, b }

// freeForBoth returns a listener on a port that is free for UDP too. Other processes on the machine may
// use one only.
func freeForBoth(t *testing.T) net.Listener {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c, err := net.ListenPacket("udp4", l.Addr().String())
		if err == nil {
			require.NoError(t, c.Close())
			return l
		}
		require.NoError(t, l.Close())
	}
}

// run runs a command and returns its exit status and standard output.
func run(t *testing.T, args ...string) (int, []byte) {
	file, err := os.CreateTemp(t.TempDir(), "out")
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = file
	code := cmd.Main(args)
	os.Stdout = stdout
	require.NoError(t, file.Close())
	out, err := os.ReadFile(file.Name())
	require.NoError(t, err)
	return code, out
}

// Guards against a command that hides the processes that do not answer, and one whose result differs
// from what the processes hold.
func TestSharedLoadOfRunningProcesses(t *testing.T) {
	l := freeForBoth(t)
	voter, err := control.Listen(control.Settings{
		Name: "v1", DataFolder: t.TempDir(), Founders: []agreement.Voter{{Name: "v1", Address: l.Addr().String()}},
		Heartbeat: 10 * time.Millisecond, Election: 50 * time.Millisecond, Tick: 5 * time.Millisecond, AcceptTimeout: time.Second,
		CompactAfter: 8, GroupToken: "token", OperatorToken: "token", Clock: time.Now, SilentAfter: time.Minute, SharedLoad: true,
	}, l, hclog.NewNullLogger())
	require.NoError(t, err)
	voter.Start(t.Context())
	t.Cleanup(voter.Stop)
	free := freeForBoth(t)
	require.NoError(t, free.Close())
	b, err := cookie.Listen(cookie.Settings{
		Fabric: "127.0.0.1:0", Rpc: free.Addr().String(), Sources: []string{voter.Address()}, Zone: "a", Token: "token", StopTimeout: time.Second,
		Codec: noCodec{}, Clock: time.Now, Shape: tree.Shape{Small: 1, Roots: 1, Fanout: 8}, StaleAfter: 2 * time.Second, SharedLoad: true,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	b.Start(t.Context())
	t.Cleanup(b.Kill)

	args := []string{"shared-load", "--token", "token", "--control", voter.Address(), "--balancers", free.Addr().String()}
	require.Eventually(t, func() bool {
		code, out := run(t, append(args, "--json")...)
		var r struct{ Voters, Balancers []status.Status }
		require.NoError(t, json.Unmarshal(out, &r))
		return code == 0 && len(r.Voters) == 1 && len(r.Voters[0].Zones) == 1 &&
			len(r.Balancers) == 1 && len(r.Balancers[0].Zones) == 1 && r.Balancers[0].Balancer != nil
	}, 20*time.Second, 20*time.Millisecond)
	code, out := run(t, args...)
	require.Equal(t, int(exit.Done), code)
	require.Contains(t, string(out), voter.Address())

	silent := freeForBoth(t)
	require.NoError(t, silent.Close())
	args[6] += "," + silent.Addr().String()
	code, out = run(t, append(args, "--json")...)
	want, _ := run(t, "status", "--token", "token", "--control", voter.Address(), "--balancers", silent.Addr().String())
	require.Equal(t, want, code)
	require.NotEqual(t, int(exit.Done), code)
	require.Contains(t, string(out), `"Silent":["`+silent.Addr().String()+`"]`)
	require.Contains(t, string(out), free.Addr().String())
}
