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

// KeyWindow is the number of change keys whose answers are remembered: six
// days at 16,000 changes a day.
const KeyWindow = 100_000

// Change is what an operator asks for.
type Change struct {
	ChangeKey string
	// ExpectRevision is that of the configuration, or of the zone's last order, that the
	// change was made for.
	ExpectRevision uint64
	// UsePreset names the preset to put in force; or Apply is the whole configuration.
	UsePreset string
	Apply     *configuration.Configuration
	// Publish is a whole configuration that carries its own revision: the
	// highest one wins, whatever revision was expected.
	Publish *configuration.Configuration `cbor:",omitempty"`
	// Evacuate empties an availability zone or takes it back.
	Evacuate *Evacuation `cbor:",omitempty"`
	Who      string
	When     time.Time
}

// Verdict is how a change ended.
type Verdict string

// The verdicts on a change.
const (
	Accepted Verdict = "Accepted"
	Conflict Verdict = "Conflict"
	Invalid  Verdict = "Invalid"
	// Superseded changes were accepted, and change nothing: a configuration of
	// the same or a higher revision was there before.
	Superseded Verdict = "Superseded"
)

// Answer is the one answer to a change key.
type Answer struct {
	Verdict  Verdict
	Revision uint64
	// WinnerKey and WinnerWho name the change that holds the revision, in a conflict.
	WinnerKey, WinnerWho string
	Reason               string
}

// ConflictError tells an operator who was first.
type ConflictError struct{ Answer Answer }

func (e *ConflictError) Error() string {
	if e.Answer.WinnerKey == "" {
		return fmt.Sprintf("nothing was changed before, the revision is %d; send your change with --expect-revision %d and a new change key",
			e.Answer.Revision, e.Answer.Revision)
	}
	return fmt.Sprintf("revision is %d by now, set by %s (change key %s); look at it and send your change with --expect-revision %d and a new change key",
		e.Answer.Revision, e.Answer.WinnerWho, e.Answer.WinnerKey, e.Answer.Revision)
}

// InvalidError tells an operator what is wrong with a change.
type InvalidError struct{ Answer Answer }

func (e *InvalidError) Error() string { return "change refused: " + e.Answer.Reason }

// Err returns the error that the answer stands for, nil when it was accepted.
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
	// Evacuate is set on orders for an availability zone; Revision is the zone's then.
	Evacuate *Evacuation `json:",omitempty"`
}

// Summary is a configuration as the audit trail tells it.
type Summary struct {
	Revision uint64
	InForce  string
	Digest   uint64
}

func summarize(c configuration.Configuration) Summary {
	return Summary{Revision: c.Revision, InForce: c.InForce, Digest: history.Digest(c)}
}

// summary returns the summary of the configuration in force. It is kept, since
// summing a configuration of hundreds of routes twice a change is most of the
// time that reading a log takes.
func (l *Ledger) summary() Summary {
	c := l.current
	if l.summed == nil || l.summed.Revision != c.Revision || l.summed.InForce != c.InForce {
		s := summarize(c)
		l.summed = &s
	}
	return *l.summed
}

type kept struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Answer Answer
}

// Ledger is the state that the voters' log drives; one goroutine owns it.
type Ledger struct {
	current configuration.Configuration
	answers map[string]Answer
	order   []string
	last    Change
	roster  roster.Roster
	// evacuations are the orders in force for availability zones.
	evacuations evacuation.Evacuations
	summed      *Summary
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{answers: map[string]Answer{}}
}

// Current returns the configuration in force.
func (l *Ledger) Current() configuration.Configuration { return l.current }

// Answered returns the answer that a change key got before.
func (l *Ledger) Answered(key string) (Answer, bool) {
	a, ok := l.answers[key]
	return a, ok
}

// RosterChange is a new list of balancers that remember keys, or the news that
// the list before is settled.
type RosterChange struct {
	ExpectVersion uint64
	Members       []roster.Member
	Settle        bool
}

// command is what one log entry carries; exactly one field is set.
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

// Encode returns a change as the log carries it.
func Encode(c Change) ([]byte, error) { return encode(command{Change: &c}) }

// EncodeRoster returns a change of the roster as the log carries it.
func EncodeRoster(c RosterChange) ([]byte, error) { return encode(command{Roster: &c}) }

// Roster returns the agreed list of balancers that remember keys.
func (l *Ledger) Roster() roster.Roster { return l.roster }

// applyRoster takes a change made for the present version; a later one of two
// that raced is dropped, its maker looks again.
func (l *Ledger) applyRoster(c RosterChange) {
	switch {
	case c.ExpectVersion != l.roster.Version:
	case c.Settle:
		l.roster = l.roster.WithSettled()
	case l.roster.Settled():
		l.roster = l.roster.WithMembers(c.Members)
	}
}

// Apply executes one accepted log entry; the record is nil for a repeated key,
// which gets its first answer again.
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
	a := l.decide(c)
	l.remember(c.ChangeKey, a)
	return c, a, &Record{
		When: c.When, Who: c.Who, ChangeKey: c.ChangeKey, Verdict: a.Verdict, Revision: a.Revision,
		Reason: a.Reason, Before: before, After: l.summary(), Evacuate: c.Evacuate,
	}
}

// decide executes a change under the rules that all voters share.
func (l *Ledger) decide(c Change) Answer {
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

// publish takes a configuration whose revision is the operators' own order. An
// equal revision with other content changes nothing either: what was read back
// under a revision must stay what it was.
func (l *Ledger) publish(c Change) Answer {
	current := l.Current()
	if answer := Examine(*c.Publish); answer.Verdict == Invalid {
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

// Examine returns the verdict on a published configuration by itself: Invalid
// with its reason, or none.
func Examine(c configuration.Configuration) Answer {
	if err := withPresets(c, configuration.Configuration{}).Check(); err != nil {
		return Answer{Verdict: Invalid, Reason: err.Error()}
	}
	return Answer{}
}

// withPresets returns a published configuration with the presets in force: such
// a configuration names routes and services and leaves the presets alone.
func withPresets(c, current configuration.Configuration) configuration.Configuration {
	c.InForce, c.Presets = current.InForce, current.Presets
	if len(c.Presets) == 0 {
		p := configuration.OrdinaryPreset()
		c.InForce, c.Presets = p.Name, []configuration.Preset{p}
	}
	return c
}

// Next returns the configuration that a change leads to, checked as a whole.
func Next(current configuration.Configuration, c Change) (configuration.Configuration, error) {
	next := current
	if c.Apply != nil {
		next = *c.Apply
		if current.InForce != "" {
			// An apply leaves the preset in force: one that names another, or
			// lacks it, would switch presets unasked.
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

func (l *Ledger) remember(key string, a Answer) {
	l.answers[key] = a
	l.order = append(l.order, key)
	if len(l.order) > KeyWindow {
		delete(l.answers, l.order[0])
		l.order = l.order[1:]
	}
}

// image is a ledger in a snapshot.
type image struct {
	_       struct{} `cbor:",toarray"`
	Current configuration.Configuration
	Answers []kept
	Last    Change
	Roster  roster.Roster
}

// Snapshot encodes the ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	keys := lo.Map(l.order, func(k string, _ int) kept { return kept{Key: k, Answer: l.answers[k]} })
	b, err := cbor.Marshal(image{Current: l.Current(), Answers: keys, Last: l.last, Roster: l.roster})
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	zones, err := cbor.Marshal(l.evacuations)
	if err != nil {
		return nil, fmt.Errorf("encode evacuations: %w", err)
	}
	return append(b, zones...), nil
}

// Restore replaces the ledger by a snapshot.
func (l *Ledger) Restore(data []byte) error {
	var i image
	var zones evacuation.Evacuations
	if len(data) > 0 {
		rest, err := cbor.UnmarshalFirst(data, &i)
		if err != nil {
			return fmt.Errorf("decode ledger: %w", err)
		}
		// A snapshot of an earlier version ends here.
		if len(rest) > 0 {
			if err := cbor.Unmarshal(rest, &zones); err != nil {
				return fmt.Errorf("decode evacuations: %w", err)
			}
		}
	}
	*l = *New()
	l.current, l.last, l.roster, l.evacuations = i.Current, i.Last, i.Roster, zones
	for _, k := range i.Answers {
		l.remember(k.Key, k.Answer)
	}
	return nil
}
