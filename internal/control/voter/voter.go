package voter

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/configuration/source"
	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/audit"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/control/rostermanager"
	"wasabideal/internal/disk/wal"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/wire/rpc"
)

// Names of the RPC methods that a voter serves.
const (
	MessageMethod = "Voter.Message"
	ChangeMethod  = "Operator.Change"
	StatusMethod  = "Operator.Status"
	CurrentMethod = "Operator.Current"
	RemoveMethod  = "Operator.RemoveVoter"
	AuditMethod   = "Operator.Audit"
	ForgetMethod  = "Operator.ForgetBalancer"
	ReportMethod  = "Roster.Hello"
	PublishMethod = "Voter.Publish"
	ReadMethod    = "Voter.Read"
	ZonesMethod   = "Operator.Zones"
)

// Settings configures a voter.
type Settings struct {
	Agreement     agreement.Settings
	GroupToken    string
	OperatorToken string
	// CompactAfter is the number of log entries that triggers a snapshot.
	CompactAfter int
	Tick         time.Duration
	// AcceptTimeout is how long Change waits until the change is applied.
	AcceptTimeout time.Duration
	RosterManager rostermanager.Settings
	// Clock returns the current time.
	Clock func() time.Time
	// Reopen reads the log again after a failed write. If it is nil, the voter stays
	// read-only after such a failure.
	Reopen func() (*wal.Log, agreement.PersistentState, error)
	// Changed, if set, is called with the history of each configuration that takes effect.
	Changed func(history.History)
	// Evacuated, if set, is called with the evacuation orders in effect, always before Changed.
	Evacuated func(evacuation.Evacuations)
}

// UnknownError reports that it is unknown whether a change was committed.
type UnknownError struct{ ChangeKey string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("no majority answered in time; send the change again with the same change key %s to learn its fate", e.ChangeKey)
}

// MissingKeyError reports a change without a change key.
type MissingKeyError struct{}

func (MissingKeyError) Error() string {
	return "a change needs a change key; pass --change-key with a name that you use once"
}

// Voter is a control process that takes part in consensus.
type Voter struct {
	settings  Settings
	log       hclog.Logger
	mu        sync.Mutex
	agreement *agreement.Node
	wal       *wal.Log
	ledger    *ledger.Ledger
	source    *source.Source
	trail     *audit.Trail
	// waiters holds the calls that wait for a log entry, by the entry's index.
	waiters       map[uint64]waiter
	rosterManager *rostermanager.Manager
	// outboxes holds the queues of messages to other voters, by address.
	outboxes map[string]*outbox
	// senderAddresses holds the listen address of each voter that sent a message, by id.
	senderAddresses map[string]string
	events          []agreement.Event
	ctx             context.Context
	deliveries      sync.WaitGroup
	// failedAt is when the last disk write or reopen attempt failed, zero while the disk works.
	failedAt time.Time
	// persistedCommit is the commit index last written to disk, commitPersistedAt the time of that write.
	persistedCommit   uint64
	commitPersistedAt time.Time
	// reads holds the reads that wait for a majority to confirm that this voter leads.
	reads  []*pendingRead
	counts *counts
	// replaying is set while the log is replayed at a start.
	replaying bool
	// clusterView is the last logged view of the cluster.
	clusterView clusterView
	// members can be read without the lock, which is held during disk writes.
	members atomic.Pointer[members]
}

// members holds the RPC addresses of all known voters and of those that are not learners.
type members struct{ known, voting []string }

// waiter is a call that waits until the log entry of its change is applied.
type waiter struct {
	term   uint64
	answer chan ledger.Answer
}

// New returns a voter with the state read from its disk.
func New(s Settings, w *wal.Log, d agreement.PersistentState, trail *audit.Trail, log hclog.Logger) (*Voter, error) {
	v := &Voter{
		settings: s, log: log, trail: trail,
		waiters: map[uint64]waiter{}, outboxes: map[string]*outbox{}, senderAddresses: map[string]string{},
		counts: newCounts(),
	}
	v.source = source.New(v.current)
	if err := v.load(w, d); err != nil {
		return nil, err
	}
	return v, nil
}

// load replaces the voter's state by the state read from its disk.
func (v *Voter) load(w *wal.Log, d agreement.PersistentState) error {
	fresh := ledger.New()
	if err := fresh.Restore(d.Snapshot.Data); err != nil {
		return err
	}
	v.wal, v.ledger, v.events = w, fresh, nil
	clear(v.waiters)
	v.agreement = agreement.New(v.settings.Agreement, d, v.settings.Clock())
	v.persistedCommit = d.Commit
	v.updateMembers()
	v.replay()
	if x := v.agreement.Status(v.settings.Clock()); x.Last > 0 {
		v.log.Info("state read from disk", "Revision", v.ledger.Current().Revision, "Accepted", x.Commit, "Last", x.Last, "Term", x.Term)
	}
	return nil
}

// replay applies the entries that the disk records as committed. Balancers receive only the
// final state: publishing each of 60 changes with 600 routes took 0.8 s on a quarter of a
// core, during which no balancer had a configuration.
func (v *Voter) replay() {
	v.replaying = true
	v.execute(v.agreement.Replay())
	v.replaying = false
	v.publish()
}

func (v *Voter) publish() {
	if v.replaying {
		return
	}
	if v.settings.Evacuated != nil {
		v.settings.Evacuated(v.ledger.Evacuations())
	}
	v.source.PublishEvacuations(v.ledger.Evacuations())
	v.source.Publish(v.ledger.Current().WithoutExtra())
	if v.settings.Changed != nil && v.ledger.Current().Revision > 0 {
		v.settings.Changed(v.source.History())
	}
	v.source.PublishRoster(v.ledger.Roster())
}

// current reports whether this voter is considered up to date: it holds the leader's lease, or it
// received a message from the leader within the minimum election timeout.
func (v *Voter) current() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.agreement.Status(v.settings.Clock())
	return s.Current || s.Role == agreement.Follower && s.Leader.Id != "" && s.Silence < v.settings.Agreement.Election
}

// Serve registers the voter's RPC methods on a server.
func (v *Voter) Serve(r *rpc.Server) {
	group, operator := v.settings.GroupToken, v.settings.OperatorToken
	v.source.Serve(r, group)
	rpc.Handle(r, MessageMethod, group, v.message)
	rpc.Handle(r, ChangeMethod, operator, v.Change)
	rpc.Handle(r, StatusMethod, operator, v.status)
	rpc.Handle(r, CurrentMethod, operator, v.configuration)
	rpc.Handle(r, RemoveMethod, operator, v.remove)
	rpc.Handle(r, AuditMethod, operator, v.audit)
	rpc.Handle(r, ForgetMethod, operator, v.forget)
	rpc.Handle(r, ReportMethod, group, v.recordReport)
	rpc.Handle(r, PublishMethod, group, v.publishLocal)
	rpc.Handle(r, ReadMethod, group, v.readLocal)
	rpc.Handle(r, ZonesMethod, operator, v.evacuations)
}

// Run does the periodic work every Tick until the context is canceled.
func (v *Voter) Run(ctx context.Context) {
	v.mu.Lock()
	v.ctx = ctx
	v.mu.Unlock()
	t := time.NewTicker(v.settings.Tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			v.deliveries.Wait()
			return
		case <-t.C:
			v.recoverDisk()
			v.step(agreement.Event{Tick: true})
			v.persistCommit()
			v.updateRoster()
		}
	}
}

type empty struct{}

func (v *Voter) message(_ context.Context, m agreement.Message) (empty, error) {
	v.mu.Lock()
	v.senderAddresses[m.From] = m.Address
	v.mu.Unlock()
	v.step(agreement.Event{Message: &m})
	return empty{}, nil
}

// step processes an event and the events that result from its effects.
func (v *Voter) step(e agreement.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.events = append(v.events, e)
	v.processEvents()
}

func (v *Voter) processEvents() {
	for len(v.events) > 0 {
		e := v.events[0]
		v.events = v.events[1:]
		v.execute(v.agreement.Reduce(v.settings.Clock(), e))
	}
	v.completeReads()
	v.compactIfNeeded()
	v.updateMembers()
	v.logClusterView()
}

// clusterView is a voter's view of the leader and the membership.
type clusterView struct {
	role     agreement.Role
	leader   string
	term     uint64
	votersAt uint64
}

// logClusterView logs a change in this voter's view of the leader or the membership.
func (v *Voter) logClusterView() {
	s := v.agreement.Status(v.settings.Clock())
	now := clusterView{role: s.Role, leader: s.Leader.Id, term: s.Term, votersAt: s.VotersAt}
	if now == v.clusterView {
		return
	}
	v.clusterView = now
	names := lo.Map(s.Voters, func(x agreement.Voter, _ int) string {
		if x.Learner {
			return x.Name + " (learner)"
		}
		return x.Name
	})
	v.log.Info("standing", "Role", s.Role, "Leader", s.Leader.Name, "Term", s.Term, "Voters", strings.Join(names, ", "), "Joint", s.Joint,
		"Accepted", s.Commit, "Last", s.Last, "Silence", s.Silence.String())
}

func (v *Voter) updateMembers() {
	v.members.Store(&members{known: v.agreement.Addresses(v.settings.Clock()), voting: v.agreement.VotingAddresses()})
}

// Members returns the RPC addresses of all known voters, including this one.
func (v *Voter) Members() []string { return v.members.Load().known }

// VotingMembers returns the RPC addresses of the voters that are not learners. It is empty while
// this voter has no list of voters.
func (v *Voter) VotingMembers() []string { return v.members.Load().voting }
