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

// lockedFolder serializes access to a folder that a voter and a test share.
type lockedFolder struct {
	mu sync.Mutex
	*fault.Folder
}

func (g *lockedFolder) Create(name string) (folder.File, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Folder.Create(name)
}

func (g *lockedFolder) setFull(full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.FailAt = 0
	if full {
		g.FailAt = g.Operations + 1
	}
}

// startSingleVoter starts a cluster of one voter.
func startSingleVoter(t *testing.T, disk *lockedFolder) *voter.Voter {
	v, run := newVoter(t, disk, nil)
	t.Cleanup(run())
	return v
}

// newVoter returns a voter and a start function, which returns a stop function.
func newVoter(t *testing.T, disk *lockedFolder, changed func(history.History)) (*voter.Voter, func() func()) {
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
		Reopen:  func() (*wal.Log, agreement.PersistentState, error) { return wal.Open(disk) },
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

// A disk is full for some seconds and then has space again. After one failed write, the voter
// stayed read-only until a restart.
func TestVoterRecoversWhenDiskHasSpaceAgain(t *testing.T) {
	disk := &lockedFolder{Folder: fault.New(1)}
	v := startSingleVoter(t, disk)
	eventually(t, func() bool { return publish(v, 5) == nil })
	disk.setFull(true)
	require.Error(t, publish(v, 6))
	require.Equal(t, uint64(5), v.AppliedConfiguration().Revision, "a change that was not synced is not applied")
	disk.setFull(false)
	eventually(t, func() bool { return publish(v, 7) == nil })
	c, err := v.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(7), c.Revision)
}

func TestHighestRevisionWins(t *testing.T) {
	v := startSingleVoter(t, &lockedFolder{Folder: fault.New(1)})
	eventually(t, func() bool { return publish(v, 5) == nil })
	other := configuration.Configuration{Revision: 5, Services: []configuration.Service{{Name: "other", Protocol: configuration.TCP}}}
	a, err := v.Publish(t.Context(), other, "other", "test")
	require.NoError(t, err)
	require.Equal(t, ledger.Superseded, a.Verdict)
	require.Empty(t, v.AppliedConfiguration().Services, "other content with the same revision is ignored")
	require.NoError(t, publish(v, 3), "an older revision is acknowledged")
	require.Equal(t, uint64(5), v.AppliedConfiguration().Revision)
	a, err = v.Publish(t.Context(), configuration.Configuration{Revision: 9, Routes: []configuration.Route{{Name: "r"}}}, "bad", "test")
	require.NoError(t, err)
	var invalid *ledger.InvalidError
	require.ErrorAs(t, a.Err(), &invalid)
	require.Equal(t, uint64(5), v.AppliedConfiguration().Revision)
}

// All VMs lose power, and a voter starts with a log of 60 changes of 600 routes. It published a
// delta for each change, and balancers had no configuration for 0.8 s.
func TestReplayPublishesOnlyFinalConfiguration(t *testing.T) {
	disk := &lockedFolder{Folder: fault.New(1)}
	var published []uint64
	for try := 0; len(published) != 1 || published[0] != 3; try++ {
		require.Less(t, try, 40, "published %v", published)
		v, run := newVoter(t, disk, nil)
		stop := run()
		for revision := uint64(1); revision <= 3; revision++ {
			eventually(t, func() bool { return publish(v, revision) == nil })
		}
		// The commit index of the last change is written to disk some ticks later.
		time.Sleep(300 * time.Millisecond)
		stop()
		published = nil
		newVoter(t, disk, func(h history.History) { published = append(published, h.Current().Revision) })
	}
}

func evacuated(v *voter.Voter) []string { return v.Evacuations().EvacuatedZones() }

// After a power loss of all VMs, a voter restarts first from its log and later from a snapshot.
// An evacuated zone must not receive flows again.
func TestEvacuationSurvivesRestart(t *testing.T) {
	disk := &lockedFolder{Folder: fault.New(1)}
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

// An evacuation order reaches a stalled voter. Its caller times out and sends a contrary order to
// another voter; then the first voter resumes. The outdated order must not override the newer order.
func TestAbandonedOrderIsNotProposed(t *testing.T) {
	v := startSingleVoter(t, &lockedFolder{Folder: fault.New(1)})
	eventually(t, func() bool { return publish(v, 1) == nil })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(5*time.Millisecond, cancel)
	_, err := v.Evacuate(ctx, "a", true, "test")
	var abandoned *voter.AbandonedError
	require.ErrorAs(t, err, &abandoned)
	require.Empty(t, evacuated(v))
}
