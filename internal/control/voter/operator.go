package voter

import (
	"context"
	"time"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/audit"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/configuration"
)

// Change proposes an operator's change and waits for its answer.
func (v *Voter) Change(ctx context.Context, c ledger.Change) (ledger.Answer, error) {
	if c.ChangeKey == "" {
		return ledger.Answer{}, MissingKeyError{}
	}
	begun := v.settings.Clock()
	w, answer, err := v.propose(c)
	if err != nil || w == nil {
		return answer, err
	}
	timeout := time.NewTimer(v.settings.AcceptTimeout)
	defer timeout.Stop()
	select {
	case a := <-w:
		v.counts.accepting.Record(v.settings.Clock().Sub(begun))
		return a, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	return ledger.Answer{}, &UnknownError{ChangeKey: c.ChangeKey}
}

// propose puts a change in the log, or returns the answer that it got before.
func (v *Voter) propose(c ledger.Change) (chan ledger.Answer, ledger.Answer, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a, ok := v.ledger.Answered(c.ChangeKey); ok {
		return nil, a, nil
	}
	now := v.settings.Clock()
	c.When = now
	data, err := ledger.Encode(c)
	if err != nil {
		return nil, ledger.Answer{}, err
	}
	e, effects, err := v.agreement.Propose(now, data)
	if err != nil {
		return nil, ledger.Answer{}, err
	}
	w := waiter{term: e.Term, answer: make(chan ledger.Answer, 1)}
	v.waiting[e.Index] = w
	v.carryOut(effects)
	v.drain()
	return w.answer, ledger.Answer{}, nil
}

// Report is what a voter tells operators of itself.
type Report struct {
	agreement.Status
	Revision uint64
	InForce  string
	LogBytes int64
}

func (v *Voter) status(context.Context, empty) (Report, error) { return v.Report(), nil }

// Report returns the voter's state.
func (v *Voter) Report() Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.ledger.Current()
	return Report{
		Status:   v.agreement.Status(v.settings.Clock()),
		Revision: c.Revision, InForce: c.InForce, LogBytes: v.wal.Size(),
	}
}

// Shown is a configuration with what is known of its age.
type Shown struct {
	Configuration configuration.Configuration
	// Current is false on a voter that may have missed accepted changes.
	Current bool
}

func (v *Voter) configuration(context.Context, empty) (Shown, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Shown{Configuration: v.ledger.Current(), Current: v.agreement.Current(v.settings.Clock())}, nil
}

func (v *Voter) remove(_ context.Context, name string) (empty, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	effects, err := v.agreement.Remove(v.settings.Clock(), name)
	if err != nil {
		return empty{}, err
	}
	v.carryOut(effects)
	v.drain()
	return empty{}, nil
}

func (v *Voter) audit(_ context.Context, last int) ([]audit.Line, error) {
	return v.trail.Last(last), nil
}

// Denied notes a call without the right token in the audit trail.
func (v *Voter) Denied(method string) {
	v.trail.Deny(v.settings.Clock(), method)
}
