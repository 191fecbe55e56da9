package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/daemon/control"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/wire/rpc"
)

const (
	timeout      = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// cluster is a set of voter processes on loopback with real sockets and folders.
type cluster struct {
	t        *testing.T
	founders []agreement.Voter
	running  map[string]*control.Control
	folders  map[string]string
}

func newCluster(t *testing.T, n int) *cluster {
	f := &cluster{t: t, running: map[string]*control.Control{}, folders: map[string]string{}}
	listeners := make([]net.Listener, n)
	for i := range listeners {
		listeners[i] = listen(t, "127.0.0.1:0")
		address := listeners[i].Addr().String()
		f.founders = append(f.founders, agreement.Voter{Name: address, Address: address})
	}
	for _, l := range listeners {
		f.start(l, false)
	}
	t.Cleanup(func() {
		for _, c := range f.running {
			c.Stop()
		}
	})
	return f
}

func listen(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	return l
}

// start starts a voter with an empty data folder. joins prevents the voter from bootstrapping a cluster.
func (f *cluster) start(l net.Listener, joins bool) {
	f.startIn(f.t.TempDir(), l, joins)
}

// startIn starts a voter with an existing data folder.
func (f *cluster) startIn(folder string, l net.Listener, joins bool) *control.Control {
	name := l.Addr().String()
	f.folders[name] = folder
	c, err := control.Listen(control.Settings{
		Name: name, DataFolder: folder, Founders: f.founders, JoinOnly: joins,
		Heartbeat: 30 * time.Millisecond, Election: 150 * time.Millisecond, Tick: 10 * time.Millisecond,
		AcceptTimeout: time.Second, CompactAfter: 8, GroupToken: "group", OperatorToken: "operator", Clock: time.Now,
		SilentAfter: time.Second,
	}, l, hclog.NewNullLogger())
	require.NoError(f.t, err)
	c.Start(context.Background())
	f.running[name] = c
	return c
}

func (f *cluster) stop(name string) {
	f.running[name].Stop()
	delete(f.running, name)
}

// waitForVoters waits until a leader has a list of n voters without learners.
func (f *cluster) waitForVoters(n int) {
	require.Eventually(f.t, func() bool {
		for _, c := range f.running {
			r := c.Voter().Report()
			if r.Role != agreement.Leader || len(r.Voters) != n {
				continue
			}
			learners := 0
			for _, v := range r.Voters {
				if v.Learner {
					learners++
				}
			}
			return learners == 0
		}
		return false
	}, timeout, pollInterval)
}

func (f *cluster) publish(revision uint64) {
	require.Eventually(f.t, func() bool {
		for _, c := range f.running {
			a, err := c.Voter().Publish(context.Background(), configuration.Configuration{Revision: revision}, fmt.Sprint("revision-", revision), "test")
			if err == nil {
				return a.Verdict == ledger.Accepted || a.Verdict == ledger.Superseded
			}
		}
		return false
	}, timeout, pollInterval)
}

// A voter that is not a founder, or that lost its disk, becomes a learner. It had no list of voters
// by which to address its responses to the leader, and never got a vote. After two lost disks there
// was no leader, and configurations were older than the acknowledged ones.
func TestNewVotersRespondToLeader(t *testing.T) {
	f := newCluster(t, 3)
	f.waitForVoters(3)
	f.publish(5)
	f.start(listen(t, "127.0.0.1:0"), true)
	f.start(listen(t, "127.0.0.1:0"), true)
	f.waitForVoters(5)
	lost := f.founders[1].Address
	f.stop(lost)
	f.start(listen(t, lost), true)
	f.waitForVoters(5)
	f.publish(6)
	c, err := f.running[lost].Voter().Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(6), c.Revision)
}

// A voter with an empty disk reaches no other voter. It knew only itself, counted as a majority, and
// acknowledged a departure that no other voter had stored.
func TestVoterWithEmptyDiskRejectsDeparture(t *testing.T) {
	f := newCluster(t, 1)
	f.waitForVoters(1)
	l := listen(t, "127.0.0.1:0")
	f.founders = []agreement.Voter{{Name: "127.0.0.1:1", Address: "127.0.0.1:1"}}
	f.start(l, true)
	u := upstream.Upstream{Identity: upstream.Identity{Service: "orders", Incarnation: 7}, Sequence: 3, State: upstream.Draining}
	var unlisted *upstreams.UnlistedError
	require.ErrorAs(t, f.running[l.Addr().String()].Upstreams().Announce(t.Context(), u, 0), &unlisted)
}

// After a site-wide power loss, restarted voters knew no upstream until its next announcement, and
// upstreams announce themselves every 1.2 s. For a second, balancers had no upstreams.
func TestRestartedVoterRestoresUpstreams(t *testing.T) {
	f := newCluster(t, 1)
	f.waitForVoters(1)
	name := f.founders[0].Address
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 7, Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Slots:    2, Sequence: 3,
	}
	require.NoError(t, f.running[name].Upstreams().Announce(t.Context(), u, 0))
	folder := f.folders[name]
	require.Eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(folder, "upstreams"))
		return err == nil
	}, timeout, pollInterval)
	f.stop(name)
	c := f.startIn(folder, listen(t, name), true)
	a := fetchUpstreams(t, c.Address())
	require.Len(t, a.Notices, 1)
	require.Equal(t, u, a.Notices[0].Upstream)
	require.False(t, a.Notices[0].Silent)
}

// After a site-wide power loss, only the first voter to restart responds to balancers. Each voter had
// saved only the upstreams that announced themselves to it, so the first flows were placed on a third
// of the upstreams.
func TestRestartedVoterRestoresRemoteUpstreams(t *testing.T) {
	f := newCluster(t, 3)
	f.waitForVoters(3)
	one, other := f.founders[0].Address, f.founders[1].Address
	u := upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 7, Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Slots:    2, Sequence: 3,
	}
	file := filepath.Join(f.folders[one], "upstreams-elsewhere")
	require.Eventually(t, func() bool {
		u.Sequence++
		require.NoError(t, f.running[other].Upstreams().Announce(t.Context(), u, 0))
		b, err := os.ReadFile(file)
		return err == nil && bytes.Contains(b, []byte("orders"))
	}, timeout, pollInterval)
	f.stop(one)
	c := f.startIn(f.folders[one], listen(t, one), true)
	a := fetchUpstreams(t, c.Address())
	require.Len(t, a.Notices, 1)
	require.Equal(t, u.Identity, a.Notices[0].Upstream.Identity)
}

// Guards against balancers that know only the voters of their settings, because the first responses of a
// restarted voter list none.
func TestRestartedVoterListsVotersInFirstResponse(t *testing.T) {
	f := newCluster(t, 3)
	f.waitForVoters(3)
	one := f.founders[0].Address
	f.stop(one)
	c := f.startIn(f.folders[one], listen(t, one), true)
	require.Len(t, fetchUpstreams(t, c.Address()).Members, 3)
}

// A voter saved its own upstreams and those of all other voters in one file, whose save interval
// grows with its size. In a large fleet, the saved state of its own upstreams was out of date.
func TestLocalAndRemoteUpstreamsAreSavedSeparately(t *testing.T) {
	f := newCluster(t, 3)
	f.waitForVoters(3)
	one, other := f.founders[0].Address, f.founders[1].Address
	announce := func(voter, service string, incarnation, sequence uint64) {
		u := upstream.Upstream{Identity: upstream.Identity{Service: service, Incarnation: incarnation}, Slots: 2, Sequence: sequence}
		require.NoError(t, f.running[voter].Upstreams().Announce(t.Context(), u, 0))
	}
	sequence := uint64(0)
	holds := func(file, service string) bool {
		b, err := os.ReadFile(filepath.Join(f.folders[one], file))
		return err == nil && bytes.Contains(b, []byte(service))
	}
	require.Eventually(t, func() bool {
		sequence++
		announce(one, "orders", 7, sequence)
		announce(other, "notes", 8, sequence)
		return holds("upstreams", "orders") && holds("upstreams-elsewhere", "notes")
	}, timeout, pollInterval)
	require.False(t, holds("upstreams", "notes"))
	require.False(t, holds("upstreams-elsewhere", "orders"))
}

// A disk hangs. The goroutine that saved upstreams also published batched updates and waited for
// the disk, and balancers received a departure seconds late.
func TestHangingDiskDoesNotDelayUpdates(t *testing.T) {
	f := newCluster(t, 1)
	f.waitForVoters(1)
	name := f.founders[0].Address
	// Opening a pipe without a reader for writing blocks, like a hanging disk.
	pipe := filepath.Join(f.folders[name], "upstreams.new")
	require.NoError(t, unix.Mkfifo(pipe, 0o600))
	t.Cleanup(func() {
		reader, err := os.Open(pipe)
		require.NoError(t, err)
		require.NoError(t, os.Remove(pipe), "the next attempt must write a regular file")
		require.NoError(t, reader.Close())
	})
	// The file is written at most once a second. Once the pipe is being opened, updates are
	// delayed if publishing waits for the write.
	u := upstream.Upstream{Identity: upstream.Identity{Service: "orders"}, Slots: 2, Sequence: 1}
	announce := func(incarnation uint64) {
		u.Incarnation = incarnation
		require.NoError(t, f.running[name].Upstreams().Announce(t.Context(), u, 0))
	}
	announce(1)
	time.Sleep(1500 * time.Millisecond)
	held := fetchUpstreams(t, name)
	announce(2)
	announce(3)
	client := rpc.NewClient(name, "group")
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	for received := len(held.Notices); received < 3; {
		a, err := rpc.Call[feed.Request, feed.Response](ctx, client, feed.SinceMethod, feed.Request{
			Life: held.Life, Version: held.Version, Hold: time.Hour,
		})
		require.NoError(t, err, "the last update must be published")
		received, held.Version = received+len(a.Notices), a.Version
	}
}

// fetchUpstreams polls a voter once, as a balancer does.
func fetchUpstreams(t *testing.T, address string) feed.Response {
	client := rpc.NewClient(address, "group")
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	a, err := rpc.Call[feed.Request, feed.Response](ctx, client, feed.SinceMethod, feed.Request{Recalled: true})
	require.NoError(t, err)
	return a
}
