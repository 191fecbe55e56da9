package voter

import (
	"context"
	"time"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/audit"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/configuration"
)

// Change proposes an operator's change and waits until it is applied.
func (v *Voter) Change(ctx context.Context, c ledger.Change) (ledger.Answer, error) {
	if c.ChangeKey == "" {
		return ledger.Answer{}, MissingKeyError{}
	}
	start := v.settings.Clock()
	w, answer, err := v.propose(c)
	if err != nil || w == nil {
		return answer, err
	}
	timeout := time.NewTimer(v.settings.AcceptTimeout)
	defer timeout.Stop()
	select {
	case a := <-w:
		v.counts.acceptLatency.Record(v.settings.Clock().Sub(start))
		return a, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	return ledger.Answer{}, &UnknownError{ChangeKey: c.ChangeKey}
}

// propose appends a change to the log, or returns the stored answer if a change
// with the same key was already applied.
func (v *Voter) propose(c ledger.Change) (chan ledger.Answer, ledger.Answer, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a, ok := v.ledger.StoredAnswer(c.ChangeKey); ok {
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
	v.waiters[e.Index] = w
	v.execute(effects)
	v.processEvents()
	return w.answer, ledger.Answer{}, nil
}

// Report is a voter's status as shown to operators.
type Report struct {
	agreement.Status
	Revision uint64
	InForce  string
	LogBytes int64
}

func (v *Voter) status(context.Context, empty) (Report, error) { return v.Report(), nil }

// Report returns the voter's status.
func (v *Voter) Report() Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.ledger.Current()
	return Report{
		Status:   v.agreement.Status(v.settings.Clock()),
		Revision: c.Revision, InForce: c.InForce, LogBytes: v.wal.Size(),
	}
}

// ConfigurationStatus is a configuration and whether it is known to be the newest one.
type ConfigurationStatus struct {
	Configuration configuration.Configuration
	// Current is false if the voter may have missed committed changes.
	Current bool
}

func (v *Voter) configuration(context.Context, empty) (ConfigurationStatus, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return ConfigurationStatus{Configuration: v.ledger.Current(), Current: v.agreement.HoldsLease(v.settings.Clock())}, nil
}

func (v *Voter) remove(_ context.Context, name string) (empty, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	effects, err := v.agreement.Remove(v.settings.Clock(), name)
	if err != nil {
		return empty{}, err
	}
	v.execute(effects)
	v.processEvents()
	return empty{}, nil
}

func (v *Voter) audit(_ context.Context, last int) ([]audit.Line, error) {
	return v.trail.Last(last), nil
}

// RecordDenied records a call with an invalid token in the audit trail.
func (v *Voter) RecordDenied(method string) {
	v.trail.WriteDenied(v.settings.Clock(), method)
}
