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
	"wasabideal/internal/control/keeper"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/disk/wal"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/wire/rpc"
)

// The calls that a voter serves.
const (
	MessageMethod = "Voter.Message"
	ChangeMethod  = "Operator.Change"
	StatusMethod  = "Operator.Status"
	CurrentMethod = "Operator.Current"
	RemoveMethod  = "Operator.RemoveVoter"
	AuditMethod   = "Operator.Audit"
	ForgetMethod  = "Operator.ForgetBalancer"
	HelloMethod   = "Roster.Hello"
	PublishMethod = "Voter.Publish"
	ReadMethod    = "Voter.Read"
	ZonesMethod   = "Operator.Zones"
)

// Settings of a control process.
type Settings struct {
	Agreement     agreement.Settings
	GroupToken    string
	OperatorToken string
	// CompactAfter is the number of entries kept before a snapshot.
	CompactAfter int
	Tick         time.Duration
	// AcceptTimeout is how long an operator waits for an acceptance.
	AcceptTimeout time.Duration
	Keeper        keeper.Settings
	// Clock is where this edge reads the time.
	Clock func() time.Time
	// Reopen reads the disk again after it refused a write; without it the
	// voter stays read-only.
	Reopen func() (*wal.Wal, agreement.Durable, error)
	// Changed is told of each configuration that comes in force, with how it came
	// about, if set.
	Changed func(history.History)
	// Evacuated is told of the orders for availability zones that come in force, before
	// Changed is told of a configuration that came later, if set.
	Evacuated func(evacuation.Evacuations)
}

// UnknownError says that a change may or may not have been accepted.
type UnknownError struct{ ChangeKey string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("no majority answered in time; send the change again with the same change key %s to learn its fate", e.ChangeKey)
}

// MissingKeyError says that a change has no key.
type MissingKeyError struct{}

func (MissingKeyError) Error() string {
	return "a change needs a change key; pass --change-key with a name that you use once"
}

// Voter is a running control process.
type Voter struct {
	settings  Settings
	log       hclog.Logger
	mu        sync.Mutex
	agreement *agreement.Agreement
	wal       *wal.Wal
	ledger    *ledger.Ledger
	source    *source.Source
	trail     *audit.Trail
	waiting   map[uint64]waiter
	keeper    *keeper.Keeper
	outboxes  map[string]*outbox
	// senders are where those listen that sent messages, by their ids.
	senders  map[string]string
	events   []agreement.Event
	ctx      context.Context
	outgoing sync.WaitGroup
	// failedAt is when the disk refused a write, zero while it works.
	failedAt time.Time
	// marked is the accepted index that the disk knows of, markedAt when it was told.
	marked   uint64
	markedAt time.Time
	// reads wait for a majority to confirm that this voter leads.
	reads  []*pendingRead
	counts *counts
	// replaying is set while the log is read at a start.
	replaying bool
	// standing is what was logged last of who leads and who votes.
	standing standing
	// members is for readers that must not wait for the disk.
	members atomic.Pointer[members]
}

// members are the call addresses of all voters known, and of those that have a
// vote.
type members struct{ known, voting []string }

type waiter struct {
	term   uint64
	answer chan ledger.Answer
}

// New returns a voter with what its disk held.
func New(s Settings, w *wal.Wal, d agreement.Durable, trail *audit.Trail, log hclog.Logger) (*Voter, error) {
	v := &Voter{
		settings: s, log: log, trail: trail,
		waiting: map[uint64]waiter{}, outboxes: map[string]*outbox{}, senders: map[string]string{},
		counts: newCounts(),
	}
	v.source = source.New(v.current)
	if err := v.load(w, d); err != nil {
		return nil, err
	}
	return v, nil
}

// load takes over what a disk holds.
func (v *Voter) load(w *wal.Wal, d agreement.Durable) error {
	fresh := ledger.New()
	if err := fresh.Restore(d.Snapshot.Data); err != nil {
		return err
	}
	v.wal, v.ledger, v.events = w, fresh, nil
	clear(v.waiting)
	v.agreement = agreement.New(v.settings.Agreement, d, v.settings.Clock())
	v.marked = d.Commit
	v.noteMembers()
	v.replay()
	return nil
}

// replay puts in force what the disk knows to be accepted. Followers are told of
// the end of it only: telling them of each change on the way took 0.8 s with 60
// changes of 600 routes on a quarter of a core, and nobody had a configuration
// meanwhile.
func (v *Voter) replay() {
	v.replaying = true
	v.carryOut(v.agreement.Replay())
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

// current says whether this voter knows of every accepted change: it leads, or
// heard a leader within an election's time and has no open entries.
func (v *Voter) current() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.agreement.Status(v.settings.Clock())
	return s.Current || s.Role == agreement.Follower && s.Leader.Id != "" && s.Silence < v.settings.Agreement.Election
}

// Serve adds the voter's methods to a server.
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
	rpc.Handle(r, HelloMethod, group, v.hello)
	rpc.Handle(r, PublishMethod, group, v.publishHere)
	rpc.Handle(r, ReadMethod, group, v.readHere)
	rpc.Handle(r, ZonesMethod, operator, v.evacuationsCall)
}

// Run ticks until the context ends.
func (v *Voter) Run(ctx context.Context) {
	v.mu.Lock()
	v.ctx = ctx
	v.mu.Unlock()
	t := time.NewTicker(v.settings.Tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			v.outgoing.Wait()
			return
		case <-t.C:
			v.recoverDisk()
			v.step(agreement.Event{Tick: true})
			v.markAccepted()
			v.keepRoster()
		}
	}
}

type empty struct{}

func (v *Voter) message(_ context.Context, m agreement.Message) (empty, error) {
	v.mu.Lock()
	v.senders[m.From] = m.Address
	v.mu.Unlock()
	v.step(agreement.Event{Message: &m})
	return empty{}, nil
}

// step reduces an event, and those that follow from carrying out its effects.
func (v *Voter) step(e agreement.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.events = append(v.events, e)
	v.drain()
}

func (v *Voter) drain() {
	for len(v.events) > 0 {
		e := v.events[0]
		v.events = v.events[1:]
		v.carryOut(v.agreement.Reduce(v.settings.Clock(), e))
	}
	v.answerReads()
	v.compactIfLong()
	v.noteMembers()
	v.logStanding()
}

// standing is what a voter believes of the voters.
type standing struct {
	role     agreement.Role
	leader   string
	term     uint64
	votersAt uint64
}

// logStanding logs when this voter's belief in who leads and who votes changed.
func (v *Voter) logStanding() {
	s := v.agreement.Status(v.settings.Clock())
	now := standing{role: s.Role, leader: s.Leader.Id, term: s.Term, votersAt: s.VotersAt}
	if now == v.standing {
		return
	}
	v.standing = now
	names := lo.Map(s.Voters, func(x agreement.Voter, _ int) string {
		if x.Learner {
			return x.Name + " (learner)"
		}
		return x.Name
	})
	v.log.Info("standing", "Role", s.Role, "Leader", s.Leader.Name, "Term", s.Term, "Voters", strings.Join(names, ", "),
		"Accepted", s.Commit, "Last", s.Last, "Silence", s.Silence.String())
}

func (v *Voter) noteMembers() {
	v.members.Store(&members{known: v.agreement.Addresses(v.settings.Clock()), voting: v.agreement.Voting()})
}

// Members returns the call addresses of all voters that this one knows, itself
// included.
func (v *Voter) Members() []string { return v.members.Load().known }

// Voting returns the call addresses of the voters that have a vote, none while
// this one holds no list of them.
func (v *Voter) Voting() []string { return v.members.Load().voting }
