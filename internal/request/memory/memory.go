package memory

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/model/roster"
	"wasabideal/internal/request/keys"
	"wasabideal/internal/wire/pool"
	"wasabideal/internal/wire/rpc"
)

const (
	claimMethod   = "Keys.Claim"
	releaseMethod = "Keys.Release"
	finishMethod  = "Keys.Finish"
	mergeMethod   = "Keys.Merge"

	// mergeBatch is the largest number of records per call.
	mergeBatch        = 200
	mergeTimeout      = 3 * time.Second
	copyRetryInterval = 300 * time.Millisecond
)

// wireClaim is the argument of a call about one key. Start identifies the process that is
// called.
type wireClaim struct {
	Start  uint64
	Epoch  uint64
	Record keys.Record
}

// wireMerge is the argument of a call that copies records. Start identifies the process
// that is called.
type wireMerge struct {
	Start   uint64
	Records []keys.Record
}

type empty struct{}

// OtherLifeError reports that the balancer was restarted and no longer has the records of
// the addressed process. Asked is the start of that process, Here the start of this one.
type OtherLifeError struct{ Asked, Here uint64 }

func (e *OtherLifeError) Error() string {
	return fmt.Sprintf("this balancer started at %d, asked was its life of %d", e.Here, e.Asked)
}

// Settings configures a Replica.
type Settings struct {
	Self roster.Member
	// Window is how long each key is stored.
	Window time.Duration
	// Limit is the maximum number of stored keys.
	Limit int
	Clock func() time.Time
}

// Replica holds the keys that this balancer stores and calls the key stores of others. It
// is safe for concurrent use.
type Replica struct {
	settings    Settings
	log         hclog.Logger
	pool        *pool.Pool
	mu          sync.Mutex
	keys        *keys.Store
	view        roster.View
	copiedEpoch uint64
}

// New returns a Replica without keys.
func New(s Settings, p *pool.Pool, log hclog.Logger) *Replica {
	return &Replica{settings: s, log: log, pool: p, keys: keys.New(s.Window, s.Limit), view: roster.NewView(roster.Roster{})}
}

// Serve registers the RPC methods with a server.
func (m *Replica) Serve(s *rpc.Server, token string) {
	rpc.Handle(s, claimMethod, token, func(_ context.Context, w wireClaim) (keys.Record, error) {
		if err := m.checkStart(w.Start); err != nil {
			return keys.Record{}, err
		}
		return m.claim(w.Epoch, w.Record)
	})
	rpc.Handle(s, releaseMethod, token, func(_ context.Context, w wireClaim) (empty, error) {
		m.release(w.Record)
		return empty{}, nil
	})
	rpc.Handle(s, finishMethod, token, func(_ context.Context, w wireClaim) (empty, error) {
		m.finish(w.Record)
		return empty{}, nil
	})
	rpc.Handle(s, mergeMethod, token, func(_ context.Context, w wireMerge) (empty, error) {
		if err := m.checkStart(w.Start); err != nil {
			return empty{}, err
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.keys.Merge(w.Records)
		return empty{}, nil
	})
}

func (m *Replica) checkStart(start uint64) error {
	if start != m.settings.Self.Start {
		return &OtherLifeError{Asked: start, Here: m.settings.Self.Start}
	}
	return nil
}

func (m *Replica) claim(epoch uint64, r keys.Record) (keys.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys.Claim(m.settings.Clock(), epoch, r)
}

func (m *Replica) release(r keys.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys.Release(r.Service, r.Key, r.Attempt)
}

func (m *Replica) finish(r keys.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys.Finish(m.settings.Clock(), r)
}

func (m *Replica) isSelf(x roster.Member) bool {
	return x.Name == m.settings.Self.Name && x.Start == m.settings.Self.Start
}

// Claim claims a key at a member.
func (m *Replica) Claim(ctx context.Context, x roster.Member, epoch uint64, r keys.Record) (keys.Record, error) {
	if m.isSelf(x) {
		return m.claim(epoch, r)
	}
	return pool.Call[wireClaim, keys.Record](ctx, m.pool, x.Rpc.String(), claimMethod, wireClaim{Start: x.Start, Epoch: epoch, Record: r})
}

// Release releases a key at a member.
func (m *Replica) Release(ctx context.Context, x roster.Member, r keys.Record) {
	if m.isSelf(x) {
		m.release(r)
		return
	}
	m.call(ctx, x, releaseMethod, r)
}

// Finish stores a response at a member.
func (m *Replica) Finish(ctx context.Context, x roster.Member, r keys.Record) {
	if m.isSelf(x) {
		m.finish(r)
		return
	}
	m.call(ctx, x, finishMethod, r)
}

func (m *Replica) call(ctx context.Context, x roster.Member, method string, r keys.Record) {
	if _, err := pool.Call[wireClaim, empty](ctx, m.pool, x.Rpc.String(), method, wireClaim{Start: x.Start, Record: r}); err != nil {
		m.log.Debug("key update failed", "Member", x.Name, "Method", method, "Error", err)
	}
}

// View returns the view of the newest roster.
func (m *Replica) View() roster.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// CopiedEpoch returns the latest epoch for which all records of this balancer are copied.
func (m *Replica) CopiedEpoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copiedEpoch
}

// Len returns the number of stored keys.
func (m *Replica) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys.Len()
}

// Expire deletes keys older than the window.
func (m *Replica) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys.Expire(m.settings.Clock())
}

// SetRoster adopts a roster if it is newer, and reports whether it did. From then on, claims
// with another epoch are rejected, so that CopyRecords misses no record.
func (m *Replica) SetRoster(r roster.Roster) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Version <= m.view.Roster.Version {
		return false
	}
	m.view = roster.NewView(r)
	m.keys.SetEpoch(r.Epoch)
	return true
}

// CopyRecords copies the records to the members that must store them under the newest
// roster, until all are copied or ctx ends.
func (m *Replica) CopyRecords(ctx context.Context) {
	for ctx.Err() == nil {
		v, transfers := m.transfers()
		if v.Roster.Settled() || m.copyAll(ctx, transfers) {
			m.mu.Lock()
			m.copiedEpoch = max(m.copiedEpoch, v.Roster.Epoch)
			m.mu.Unlock()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(copyRetryInterval):
		}
	}
}

func (m *Replica) transfers() (roster.View, map[roster.Member][]keys.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view, m.keys.Transfers(m.view, m.settings.Self)
}

// copyAll copies records to their members and reports whether all calls succeeded.
// CopyRecords retries failed members until they respond or leave the roster.
func (m *Replica) copyAll(ctx context.Context, transfers map[roster.Member][]keys.Record) bool {
	done := true
	for x, records := range transfers {
		for len(records) > 0 {
			n := min(len(records), mergeBatch)
			call, cancel := context.WithTimeout(ctx, mergeTimeout)
			_, err := pool.Call[wireMerge, empty](call, m.pool, x.Rpc.String(), mergeMethod, wireMerge{Start: x.Start, Records: records[:n]})
			cancel()
			if err != nil {
				m.log.Debug("copying keys failed", "Member", x.Name, "Error", err)
				done = false
				break
			}
			records = records[n:]
		}
	}
	return done
}
