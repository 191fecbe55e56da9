package ledger

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/roster"
)

// KeyWindow is the number of change keys whose answers are stored, enough for six days
// with 16,000 changes a day.
const KeyWindow = 100_000

// Change is a change requested by an operator.
type Change struct {
	ChangeKey string
	// ExpectRevision is the revision that the change is based on: the configuration's revision
	// or, for Evacuate, the revision of the zone's evacuation state.
	ExpectRevision uint64
	// UsePreset names the preset to put in force.
	UsePreset string
	// Apply is a whole configuration.
	Apply *configuration.Configuration
	// Publish is a whole configuration with its own revision: the highest
	// revision wins, and ExpectRevision is ignored.
	Publish *configuration.Configuration `cbor:",omitempty"`
	// Evacuate starts or ends the evacuation of an availability zone.
	Evacuate *Evacuation `cbor:",omitempty"`
	Who      string
	When     time.Time
}

// Verdict is the outcome of a change.
type Verdict string

// The outcomes of a change.
const (
	Accepted Verdict = "Accepted"
	Conflict Verdict = "Conflict"
	Invalid  Verdict = "Invalid"
	// Superseded changes are accepted without effect: a configuration of the same
	// or a higher revision, or the requested zone state, was already in force.
	Superseded Verdict = "Superseded"
)

// Answer is the stored result of a change.
type Answer struct {
	Verdict  Verdict
	Revision uint64
	// WinnerKey and WinnerWho identify the change that made the current revision.
	// They are set in a conflict.
	WinnerKey, WinnerWho string
	Reason               string
}

// ConflictError reports that another change was applied first.
type ConflictError struct{ Answer Answer }

func (e *ConflictError) Error() string {
	if e.Answer.WinnerKey == "" {
		return fmt.Sprintf("nothing was changed before, the revision is %d; send your change with --expect-revision %d and a new change key",
			e.Answer.Revision, e.Answer.Revision)
	}
	return fmt.Sprintf("revision is %d by now, set by %s (change key %s); look at it and send your change with --expect-revision %d and a new change key",
		e.Answer.Revision, e.Answer.WinnerWho, e.Answer.WinnerKey, e.Answer.Revision)
}

// InvalidError reports why a change is invalid.
type InvalidError struct{ Answer Answer }

func (e *InvalidError) Error() string { return "change refused: " + e.Answer.Reason }

// Err returns the answer as an error, nil if the change was accepted.
func (a Answer) Err() error {
	switch a.Verdict {
	case Conflict:
		return &ConflictError{Answer: a}
	case Invalid:
		return &InvalidError{Answer: a}
	case Accepted, Superseded:
	}
	return nil
}

// Record is one line of the audit trail.
type Record struct {
	When      time.Time
	Who       string
	ChangeKey string
	Verdict   Verdict
	Revision  uint64
	Reason    string `json:",omitempty"`
	Before    Summary
	After     Summary
	// Evacuate is set for changes of an availability zone; Revision is then the zone's.
	Evacuate *Evacuation `json:",omitempty"`
}

// Summary identifies a configuration in the audit trail.
type Summary struct {
	Revision uint64
	InForce  string
	Digest   uint64
}

func summarize(c configuration.Configuration) Summary {
	return Summary{Revision: c.Revision, InForce: c.InForce, Digest: history.Digest(c)}
}

// summary returns the summary of the configuration in force. It is cached:
// computing the digest of hundreds of routes twice per change would take most of
// the time of a log replay.
func (l *Ledger) summary() Summary {
	c := l.current
	if l.cachedSummary == nil || l.cachedSummary.Revision != c.Revision || l.cachedSummary.InForce != c.InForce {
		s := summarize(c)
		l.cachedSummary = &s
	}
	return *l.cachedSummary
}

// storedAnswer is a change key and its answer, as encoded in a snapshot.
type storedAnswer struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Answer Answer
}

// Ledger is the replicated state machine; it is not safe for concurrent use.
type Ledger struct {
	current  configuration.Configuration
	answers  map[string]Answer
	keyOrder []string
	last     Change
	roster   roster.Roster
	// evacuations is the evacuation state of the availability zones.
	evacuations   evacuation.Evacuations
	cachedSummary *Summary
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{answers: map[string]Answer{}}
}

// Current returns the configuration in force.
func (l *Ledger) Current() configuration.Configuration { return l.current }

// StoredAnswer returns the answer to an earlier change with the same change key, the idempotency
// key of a configuration change, and whether there is one.
func (l *Ledger) StoredAnswer(key string) (Answer, bool) {
	a, ok := l.answers[key]
	return a, ok
}

// RosterChange replaces the list of balancers that store the idempotency keys of requests, or
// records that the transfer of these keys from the previous list is complete (Settle).
type RosterChange struct {
	ExpectVersion uint64
	Members       []roster.Member
	Settle        bool
}

// command is the content of one log entry; exactly one field is set.
type command struct {
	Change *Change       `cbor:",omitempty"`
	Roster *RosterChange `cbor:",omitempty"`
}

func encode(c command) ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return b, nil
}

// Encode returns a change in its log encoding.
func Encode(c Change) ([]byte, error) { return encode(command{Change: &c}) }

// EncodeRoster returns a change of the roster in its log encoding.
func EncodeRoster(c RosterChange) ([]byte, error) { return encode(command{Roster: &c}) }

// Roster returns the list of balancers that store idempotency keys.
func (l *Ledger) Roster() roster.Roster { return l.roster }

// applyRoster applies a change that is based on the current version. The second
// of two concurrent changes has no effect; the roster manager then proposes a new change.
func (l *Ledger) applyRoster(c RosterChange) {
	switch {
	case c.ExpectVersion != l.roster.Version:
	case c.Settle:
		l.roster = l.roster.WithSettled()
	case l.roster.Settled():
		l.roster = l.roster.WithMembers(c.Members)
	}
}

// Apply applies one committed log entry. For a change key that was applied before, it
// returns the first answer and a nil record.
func (l *Ledger) Apply(data []byte) (Change, Answer, *Record) {
	var x command
	if err := cbor.Unmarshal(data, &x); err != nil {
		return Change{}, Answer{Verdict: Invalid, Reason: "change cannot be read: " + err.Error()}, nil
	}
	if x.Roster != nil {
		l.applyRoster(*x.Roster)
	}
	if x.Change == nil {
		return Change{}, Answer{}, nil
	}
	c := *x.Change
	if a, ok := l.answers[c.ChangeKey]; ok {
		return c, a, nil
	}
	before := l.summary()
	a := l.applyChange(c)
	l.storeAnswer(c.ChangeKey, a)
	return c, a, &Record{
		When: c.When, Who: c.Who, ChangeKey: c.ChangeKey, Verdict: a.Verdict, Revision: a.Revision,
		Reason: a.Reason, Before: before, After: l.summary(), Evacuate: c.Evacuate,
	}
}

// applyChange applies a change and returns the answer. It is deterministic, so that all voters
// reach the same state.
func (l *Ledger) applyChange(c Change) Answer {
	current := l.Current()
	switch {
	case c.Evacuate != nil:
		return l.evacuate(c)
	case c.Publish != nil:
		return l.publish(c)
	}
	if c.ExpectRevision != current.Revision {
		return Answer{Verdict: Conflict, Revision: current.Revision, WinnerKey: l.last.ChangeKey, WinnerWho: l.last.Who}
	}
	next, err := Next(current, c)
	if err != nil {
		return Answer{Verdict: Invalid, Revision: current.Revision, Reason: err.Error()}
	}
	l.current = next
	l.last = Change{ChangeKey: c.ChangeKey, Who: c.Who}
	return Answer{Verdict: Accepted, Revision: next.Revision}
}

// publish applies a configuration whose revision is set by the operator, if it is higher than
// the current one. An equal revision with other content has no effect either, since balancers
// may already have applied that revision.
func (l *Ledger) publish(c Change) Answer {
	current := l.Current()
	if answer := ValidatePublished(*c.Publish); answer.Verdict == Invalid {
		return answer
	}
	next := withPresets(*c.Publish, current)
	if next.Revision <= current.Revision {
		return Answer{Verdict: Superseded, Revision: current.Revision}
	}
	l.current = next
	l.last = Change{ChangeKey: c.ChangeKey, Who: c.Who}
	return Answer{Verdict: Accepted, Revision: next.Revision}
}

// ValidatePublished validates a published configuration independently of the current one.
// It returns an Invalid answer with the reason, or an empty answer.
func ValidatePublished(c configuration.Configuration) Answer {
	if err := withPresets(c, configuration.Configuration{}).Check(); err != nil {
		return Answer{Verdict: Invalid, Reason: err.Error()}
	}
	return Answer{}
}

// withPresets returns a published configuration with the current presets: a
// published configuration sets routes and services but no presets.
func withPresets(c, current configuration.Configuration) configuration.Configuration {
	c.InForce, c.Presets = current.InForce, current.Presets
	if len(c.Presets) == 0 {
		p := configuration.OrdinaryPreset()
		c.InForce, c.Presets = p.Name, []configuration.Preset{p}
	}
	return c
}

// Next returns the validated configuration that results from a change.
func Next(current configuration.Configuration, c Change) (configuration.Configuration, error) {
	next := current
	if c.Apply != nil {
		next = *c.Apply
		if current.InForce != "" {
			// Applying a configuration keeps the preset in force, even if the
			// configuration names another preset or none.
			next = next.WithPreset(current.InForce)
		}
	}
	if c.UsePreset != "" {
		next = next.WithPreset(c.UsePreset)
	}
	next = next.WithRevision(current.Revision + 1)
	if err := next.Check(); err != nil {
		return current, fmt.Errorf("check configuration: %w", err)
	}
	return next, nil
}

// storeAnswer stores an answer and drops the oldest one beyond KeyWindow.
func (l *Ledger) storeAnswer(key string, a Answer) {
	l.answers[key] = a
	l.keyOrder = append(l.keyOrder, key)
	if len(l.keyOrder) > KeyWindow {
		delete(l.answers, l.keyOrder[0])
		l.keyOrder = l.keyOrder[1:]
	}
}

// ledgerSnapshot is the first part of an encoded snapshot; the encoded evacuations follow it.
type ledgerSnapshot struct {
	_       struct{} `cbor:",toarray"`
	Current configuration.Configuration
	Answers []storedAnswer
	Last    Change
	Roster  roster.Roster
}

// Snapshot encodes the ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	keys := lo.Map(l.keyOrder, func(k string, _ int) storedAnswer { return storedAnswer{Key: k, Answer: l.answers[k]} })
	b, err := cbor.Marshal(ledgerSnapshot{Current: l.Current(), Answers: keys, Last: l.last, Roster: l.roster})
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	zones, err := cbor.Marshal(l.evacuations)
	if err != nil {
		return nil, fmt.Errorf("encode evacuations: %w", err)
	}
	return append(b, zones...), nil
}

// Restore replaces the state of the ledger by a snapshot.
func (l *Ledger) Restore(data []byte) error {
	var i ledgerSnapshot
	var zones evacuation.Evacuations
	if len(data) > 0 {
		rest, err := cbor.UnmarshalFirst(data, &i)
		if err != nil {
			return fmt.Errorf("decode ledger: %w", err)
		}
		// Snapshots of earlier versions have no evacuations.
		if len(rest) > 0 {
			if err := cbor.Unmarshal(rest, &zones); err != nil {
				return fmt.Errorf("decode evacuations: %w", err)
			}
		}
	}
	*l = *New()
	l.current, l.last, l.roster, l.evacuations = i.Current, i.Last, i.Roster, zones
	for _, k := range i.Answers {
		l.storeAnswer(k.Key, k.Answer)
	}
	return nil
}
