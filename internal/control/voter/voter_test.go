package voter_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/audit"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/control/voter"
	"wasabideal/internal/disk/fault"
	"wasabideal/internal/disk/folder"
	"wasabideal/internal/disk/wal"
	"wasabideal/internal/model/configuration"
)

// guarded makes a folder safe for a voter and a test at once.
type guarded struct {
	mu sync.Mutex
	*fault.Folder
}

func (g *guarded) Create(name string) (folder.File, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Folder.Create(name)
}

func (g *guarded) full(full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.FailAt = 0
	if full {
		g.FailAt = g.Operations + 1
	}
}

// alone starts a voter that is its own majority.
func alone(t *testing.T, disk *guarded) *voter.Voter {
	v, run := newVoter(t, disk, nil)
	t.Cleanup(run())
	return v
}

// newVoter returns a voter, and what runs it and returns what ends it.
func newVoter(t *testing.T, disk *guarded, changed func(history.History)) (*voter.Voter, func() func()) {
	w, d, err := wal.Open(disk)
	require.NoError(t, err)
	trail, err := audit.Open(fault.New(9), hclog.NewNullLogger())
	require.NoError(t, err)
	self := agreement.Voter{Name: "v1", Id: "v1", Address: "127.0.0.1:1"}
	v, err := voter.New(voter.Settings{
		Agreement: agreement.Settings{
			Self: self, Founders: []agreement.Voter{self}, Heartbeat: 10 * time.Millisecond,
			Election: 30 * time.Millisecond, EntriesPerMessage: 8,
		},
		GroupToken: "group", CompactAfter: 64, Tick: 5 * time.Millisecond, AcceptTimeout: 300 * time.Millisecond, Clock: time.Now,
		Changed: changed,
		Reopen:  func() (*wal.Wal, agreement.Durable, error) { return wal.Open(disk) },
	}, w, d, trail, hclog.NewNullLogger())
	require.NoError(t, err)
	return v, func() func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			v.Run(ctx)
		}()
		return func() {
			cancel()
			<-done
		}
	}
}

func publish(v *voter.Voter, revision uint64) error {
	a, err := v.Publish(context.Background(), configuration.Configuration{Revision: revision}, fmt.Sprint("key-", revision), "test")
	if err != nil {
		return err
	}
	return a.Err()
}

func eventually(t *testing.T, f func() bool) {
	require.Eventually(t, f, 20*time.Second, 10*time.Millisecond)
}

// Symptom: after a disk had been full for some seconds its voter took part in
// nothing until it was restarted.
// Events: a write is refused; some seconds later the disk has room again.
// Cause: a voter stayed read-only for ever after one refused write.
func TestVoterReturnsWhenItsDiskWorksAgain(t *testing.T) {
	disk := &guarded{Folder: fault.New(1)}
	v := alone(t, disk)
	eventually(t, func() bool { return publish(v, 5) == nil })
	disk.full(true)
	require.Error(t, publish(v, 6))
	require.Equal(t, uint64(5), v.Held().Revision, "what was not synced is not in force")
	disk.full(false)
	eventually(t, func() bool { return publish(v, 7) == nil })
	c, err := v.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(7), c.Revision)
}

func TestHighestRevisionWins(t *testing.T) {
	v := alone(t, &guarded{Folder: fault.New(1)})
	eventually(t, func() bool { return publish(v, 5) == nil })
	other := configuration.Configuration{Revision: 5, Services: []configuration.Service{{Name: "other", Protocol: configuration.TCP}}}
	a, err := v.Publish(t.Context(), other, "other", "test")
	require.NoError(t, err)
	require.Equal(t, ledger.Superseded, a.Verdict)
	require.Empty(t, v.Held().Services, "other content under the same revision changes nothing")
	require.NoError(t, publish(v, 3), "an older one is acknowledged")
	require.Equal(t, uint64(5), v.Held().Revision)
	a, err = v.Publish(t.Context(), configuration.Configuration{Revision: 9, Routes: []configuration.Route{{Name: "r"}}}, "bad", "test")
	require.NoError(t, err)
	var invalid *ledger.InvalidError
	require.ErrorAs(t, a.Err(), &invalid)
	require.Equal(t, uint64(5), v.Held().Revision)
}

// Symptom: after a loss of power everywhere no balancer had a configuration for
// 0.8 s after the voters had started.
// Events: a voter starts with a log of 60 changes of 600 routes.
// Cause: it worked out for followers what each of the changes had changed.
func TestReplayedLogIsToldOnce(t *testing.T) {
	disk := &guarded{Folder: fault.New(1)}
	var told []uint64
	for try := 0; len(told) != 1 || told[0] != 3; try++ {
		require.Less(t, try, 40, "told of %v", told)
		v, run := newVoter(t, disk, nil)
		stop := run()
		for revision := uint64(1); revision <= 3; revision++ {
			eventually(t, func() bool { return publish(v, revision) == nil })
		}
		// The disk learns some ticks later that the last change was accepted.
		time.Sleep(300 * time.Millisecond)
		stop()
		told = nil
		newVoter(t, disk, func(h history.History) { told = append(told, h.Current().Revision) })
	}
}

func evacuated(v *voter.Voter) []string { return v.Evacuations().Names() }

// Symptom: after a loss of power everywhere upstreams of a zone that operators had emptied
// got flows again.
// Events: a zone is evacuated; the voter restarts from its disk, with its log and later with
// a snapshot.
// Cause: none yet; orders for zones were not kept.
func TestEvacuationSurvivesARestart(t *testing.T) {
	disk := &guarded{Folder: fault.New(1)}
	v, run := newVoter(t, disk, nil)
	stop := run()
	order := func(v *voter.Voter, zone string, on bool) {
		eventually(t, func() bool {
			a, err := v.Evacuate(t.Context(), zone, on, "test")
			return err == nil && a.Err() == nil
		})
	}
	order(v, "a", true)
	order(v, "b", true)
	stop()
	v, run = newVoter(t, disk, nil)
	stop = run()
	eventually(t, func() bool { return len(evacuated(v)) == 2 })
	for revision := uint64(1); revision <= 80; revision++ {
		require.NoError(t, publish(v, revision))
	}
	order(v, "a", false)
	stop()
	v, run = newVoter(t, disk, nil)
	t.Cleanup(run())
	eventually(t, func() bool { return len(evacuated(v)) == 1 && evacuated(v)[0] == "b" })
}

// Symptom: a zone that operators had taken back was evacuated again.
// Events: an order arrives at a voter that stands still; its caller gives up and goes on
// elsewhere; the voter goes on.
// Cause: the voter proposed what nobody waited for any more.
func TestOrderWhoseCallerGaveUpIsNotProposed(t *testing.T) {
	v := alone(t, &guarded{Folder: fault.New(1)})
	eventually(t, func() bool { return publish(v, 1) == nil })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(5*time.Millisecond, cancel)
	_, err := v.Evacuate(ctx, "a", true, "test")
	var abandoned *voter.AbandonedError
	require.ErrorAs(t, err, &abandoned)
	require.Empty(t, evacuated(v))
}
